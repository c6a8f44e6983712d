/** Selects the headers of a message that are forwarded to the next hop. */

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Headers that concern a single connection and are never forwarded. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);
const PLAIN_CONNECTION_VALUE = /^(keep-alive|close)$/iu;

/** The header names that the message's `connection` header declares as hop-by-hop. */
const connectionHeaderNames = (headers: Headers): ReadonlySet<string> | undefined => {
  const { connection } = headers;
  if (typeof connection !== 'string' || PLAIN_CONNECTION_VALUE.test(connection)) return undefined;
  return new Set(connection.split(',').map((name) => name.trim().toLowerCase()));
};

export const endToEndHeaders = (headers: Headers): Record<string, string | string[]> => {
  const kept: Record<string, string | string[]> = {};
  const connectionNames = connectionHeaderNames(headers);
  Object.keys(headers).forEach((name) => {
    const value = headers[name];
    if (value === undefined || HOP_BY_HOP_HEADERS.has(name)) return;
    if (connectionNames?.has(name) !== true) kept[name] = value;
  });
  return kept;
};
