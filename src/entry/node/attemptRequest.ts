/** Builds the request that one attempt sends to the backend server. */
import type { TraceSpan } from '../../services/tracing/common/tracing.js';
import type { CallerRequest } from '../common/callerRequest.js';
import { SERVICE_HEADER, TRACEPARENT_HEADER } from '../common/headers.js';
import { endToEndHeaders } from '../common/forwardedHeaders.js';
import type { BackendServer } from '../common/routing.js';
import type { AttemptRequest } from './backendConnections.js';

export const toAttemptRequest = (
  request: CallerRequest,
  server: BackendServer,
  span: TraceSpan | undefined,
  isFreshWanted: boolean,
): AttemptRequest => {
  const headers = endToEndHeaders(request.headers);
  headers[SERVICE_HEADER] = request.serviceName;
  if (span !== undefined) headers[TRACEPARENT_HEADER] = span.traceparent;
  const { method, path, body } = request;
  return { server, method, path, headers, body, isFreshWanted };
};
