/** Writes large JSON without holding the event loop. */
import { setImmediate as nextTurn } from 'node:timers/promises';

import { JsonForm, jsonPieces } from '../common/json.js';

/** What is written between two turns: a fraction of a millisecond of work. */
const TURN_LENGTH = 20_000;

/**
 * The JSON of a value. A plan for a job of 10,000 tasks is a megabyte of it; written in one go
 * it would hold up every request of the daemon for ten milliseconds and more, so requests get
 * their turn between its parts. What is short is written at once.
 */
export const jsonText = async (
  value: unknown,
  form: JsonForm = JsonForm.Plain,
): Promise<string> => {
  const written: string[] = [];
  let lengthSinceTurn = 0;
  // eslint-disable-next-line no-restricted-syntax -- the pieces are made one by one, on demand
  for (const piece of jsonPieces(value, form)) {
    written.push(piece);
    lengthSinceTurn += piece.length;
    if (lengthSinceTurn > TURN_LENGTH) {
      lengthSinceTurn = 0;
      // eslint-disable-next-line no-await-in-loop -- one part a turn is the purpose
      await nextTurn();
    }
  }
  return written.join('');
};
