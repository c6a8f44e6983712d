/** Finds the port that the operating system has chosen for a server. */
import type { FastifyInstance } from 'fastify';

export const listeningPort = ({ server }: Pick<FastifyInstance, 'server'>): number => {
  const address = server.address();
  if (address === null || typeof address === 'string')
    throw new Error('the server does not listen');
  return address.port;
};
