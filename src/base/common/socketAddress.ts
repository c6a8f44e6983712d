/** IPv4 addresses with a port, written as IP:PORT. */
import { z } from 'zod';

export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

const PORT_LIMIT = 65_535;
const ipv4Schema = z.ipv4();
const PORT_PATTERN = /^(?:0|[1-9]\d{0,4})$/u;

/** Returns undefined if the text is not an address. Port 0 stands for any port to listen on. */
export const parseSocketAddress = (text: string): SocketAddress | undefined => {
  const [host = '', portText = '', ...rest] = text.split(':');
  const isPort = PORT_PATTERN.test(portText) && Number(portText) <= PORT_LIMIT;
  if (rest.length > 0 || !isPort || !ipv4Schema.safeParse(host).success) return undefined;
  return { host, port: Number(portText) };
};

/** Whether a connection can be opened to the text as an address. */
export const isConnectable = (text: string): boolean => (parseSocketAddress(text)?.port ?? 0) > 0;
