import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { isConnectable, parseSocketAddress } from '../common/socketAddress.js';

/** URLs leave it out. */
const HTTP_PORT = 80;

const socketAddresses = fc
  .tuple(fc.ipV4(), fc.integer({ min: 1, max: 65_535 }))
  .map(([host, port]) => `${host}:${port}`);
const texts = fc.oneof(
  fc.string({ unit: 'binary' }),
  fc.stringMatching(/^[\d.:]{1,24}$/u),
  fc.tuple(fc.ipV4(), fc.integer()).map(([host, port]) => `${host}:${port}`),
  socketAddresses,
);

describe('a socket address', () => {
  it('consists of an IPv4 address and a port', () => {
    expect(parseSocketAddress('10.1.2.3:8080')).toEqual({ host: '10.1.2.3', port: 8_080 });
    fc.assert(fc.property(socketAddresses, isConnectable));
  });

  it.each(['10.1.2.3:65536', '10.1.2.3:080', '10.1.2.3.4:80', '010.1.2.3:80', '10.1.2.3:80:80'])(
    'is not %s',
    (text) => expect(parseSocketAddress(text)).toBeUndefined(),
  );

  it('becomes the host and port of a URL as it is, whatever the text was', () => {
    fc.assert(
      fc.property(texts, (text) => {
        if (!isConnectable(text)) return;
        const { hostname, port } = new URL(`http://${text}`);
        expect(`${hostname}:${port === '' ? HTTP_PORT : port}`).toBe(text);
      }),
    );
  });
});
