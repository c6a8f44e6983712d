/** The headers of a message that go on to the next hop. */

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Headers that concern one connection only and are never passed on. */
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

/** Names that the message's own `connection` header declares to be of this hop. */
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
