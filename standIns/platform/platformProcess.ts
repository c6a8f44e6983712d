/** Runs the stand-in for the platform as a process and prints its port as one JSON line. */
import { PlatformServer } from './platformServer.js';

const server = new PlatformServer(Number(process.argv[2] ?? '1'));
const port = await server.listen();
process.stdout.write(`${JSON.stringify({ port })}\n`);
