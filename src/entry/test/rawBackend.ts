/** A backend server on plain sockets, so that a test controls every byte. */
import { createServer, type Server, type Socket } from 'node:net';

/** Answers one request on a connection; `index` counts the requests of all connections. */
export type RawAnswer = (socket: Socket, index: number, head: string) => void;

const HEAD_END = '\r\n\r\n';

export class RawBackend {
  readonly requests: string[] = [];

  readonly sockets = new Set<Socket>();

  /** The highest number of connections that were open at a time. */
  maximumConnections = 0;

  readonly #server: Server;

  constructor(answer: RawAnswer) {
    this.#server = createServer((socket) => {
      this.sockets.add(socket);
      this.maximumConnections = Math.max(this.maximumConnections, this.sockets.size);
      socket.on('close', () => this.sockets.delete(socket));
      socket.on('error', () => {});
      let received = '';
      socket.on('data', (chunk) => {
        received += chunk.toString('latin1');
        for (
          let end = RawBackend.#firstRequestEnd(received);
          end > 0;
          end = RawBackend.#firstRequestEnd(received)
        ) {
          const head = received.slice(0, received.indexOf(HEAD_END));
          received = received.slice(end);
          this.requests.push(head);
          answer(socket, this.requests.length - 1, head);
        }
      });
    });
  }

  async listen(): Promise<number> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return (this.#server.address() as { port: number }).port;
  }

  close(): void {
    this.sockets.forEach((socket) => socket.destroy());
    this.#server.close();
  }

  /** The offset at which the first request ends; zero while it is incomplete. */
  static #firstRequestEnd(received: string): number {
    const headEnd = received.indexOf(HEAD_END);
    if (headEnd < 0) return 0;
    const length = /content-length: (\d+)/iu.exec(received.slice(0, headEnd))?.[1] ?? '0';
    const end = headEnd + HEAD_END.length + Number(length);
    return received.length >= end ? end : 0;
  }
}

/** A complete answer with a content length. */
export const wholeAnswer = (body: string, headers = ''): string =>
  `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n${headers}\r\n${body}`;
