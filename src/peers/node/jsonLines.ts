/** Reads and writes JSON lines on a connection between daemons and counts their bytes. */
import type { Socket } from 'node:net';

import split from 'split2';

import type { Metrics } from '../../services/metrics/common/metrics.js';
import { MAXIMUM_LINE_BYTES } from '../common/peerMessages.js';

const isObject = (value: unknown): boolean =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/**
 * Calls `handle` for each line. A line that is too long or not a JSON object closes the connection:
 * daemons send each other no batches, and the JSON-RPC library throws for values such as `[null]`.
 */
export const readLines = <Message>(
  socket: Socket,
  metrics: Metrics,
  handle: (message: Message) => void,
): void => {
  const parse = (line: string): Message => {
    const message: unknown = JSON.parse(line);
    if (!isObject(message)) throw new TypeError('the line is not a JSON object');
    return message as Message;
  };
  socket.on('data', (chunk: Buffer) => metrics.count('peer_bytes_received', {}, chunk.length));
  socket
    .pipe(split(parse, { maxLength: MAXIMUM_LINE_BYTES }))
    .on('data', handle)
    .on('error', () => socket.destroy());
};

export const writeLine = (socket: Socket, metrics: Metrics, message: unknown): void => {
  const line = `${JSON.stringify(message)}\n`;
  metrics.count('peer_bytes_sent', {}, Buffer.byteLength(line));
  socket.write(line);
};
