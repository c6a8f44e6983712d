/**
 * A process that stands in for workers and for the store: `loopbackServers WORKERS RUNS`.
 * It opens one server per worker, sends the ports to its parent process and answers each kind of
 * request with the same bytes every time. Hold requests are answered after varying delays, so that
 * their answers arrive one by one, as those of real workers do. Other requests get their answer at
 * once.
 */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';

const HOST = '127.0.0.1';
const HOLD_PATH = '/api/hold';
const MAXIMUM_WAIT_MS = 200;
/** Shares no divisor with the maximum wait, so that the waits cover the whole range. */
const WAIT_STRIDE_MS = 37;

const holdAnswer = (runCount: number): string => {
  const running = Array.from({ length: runCount }, (_, index) => [
    ...[`00000000000000c1.0.0.${index}`, 1, String(1_000 + index), 50, 1_800],
  ]);
  const finished = [[1, '00000000000000c2.0.0.0', 1, 'done', '']];
  return JSON.stringify({ ClockMs: 1_000, born: 1, Running: running, Finished: finished });
};

let holdCount = 0;

const holdWaitMs = (): number => {
  holdCount += 1;
  return (holdCount * WAIT_STRIDE_MS) % MAXIMUM_WAIT_MS;
};

const listen = (answers: ReadonlyMap<string, string>): Promise<Server> => {
  const server = createServer((request, response) => {
    const answer = (): void => {
      response.setHeader('content-type', 'application/json');
      response.end(answers.get(request.url ?? '') ?? '{}');
    };
    request.resume();
    request.once('end', () => {
      if (request.url === HOLD_PATH) setTimeout(answer, holdWaitMs());
      else answer();
    });
  });
  return new Promise((resolve) => {
    server.listen(0, HOST, () => resolve(server));
  });
};

const [workerCount, runCount] = process.argv.slice(2).map(Number) as [number, number];
const answers = new Map([
  [HOLD_PATH, holdAnswer(runCount)],
  ['/api/rows-tx', JSON.stringify({ Ver: 7, NowMs: 1_000 })],
]);
const servers = await Promise.all(Array.from({ length: workerCount }, () => listen(answers)));
process.send?.(servers.map((server) => (server.address() as AddressInfo).port));
process.once('disconnect', () => process.exit(0));
