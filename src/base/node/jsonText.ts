/** Serialises large values to JSON without blocking the event loop. */
import { setImmediate as nextTurn } from 'node:timers/promises';

import { JsonForm, jsonPieces } from '../common/json.js';

/** Characters serialised per turn of the event loop: a fraction of a millisecond of work. */
const TURN_CHARACTERS = 20_000;

/**
 * Serialises a value to JSON. The plan for a job of 10,000 tasks is a megabyte of JSON, and
 * serialising it in one step would block every request of the daemon for ten milliseconds or
 * more. A long value therefore yields to the event loop between its pieces; a short one does not.
 */
export const jsonText = async (
  value: unknown,
  form: JsonForm = JsonForm.Plain,
): Promise<string> => {
  const written: string[] = [];
  let charactersSinceTurn = 0;
  // eslint-disable-next-line no-restricted-syntax -- the generator creates the pieces on demand
  for (const piece of jsonPieces(value, form)) {
    written.push(piece);
    charactersSinceTurn += piece.length;
    if (charactersSinceTurn > TURN_CHARACTERS) {
      charactersSinceTurn = 0;
      // eslint-disable-next-line no-await-in-loop -- yields to the event loop
      await nextTurn();
    }
  }
  return written.join('');
};
