/**
 * The gateway: forwards callers' requests unchanged to the backend servers, and
 * adds routing, limits and retries.
 */
export type * from './types.ts'
export { createBackendTable, servingLabel, canaryLabel } from './backend-table.ts'
export { createRouteTable } from './route-table.ts'
export { createConfigurationWait } from './configuration-wait.ts'
export { createRequestHandler } from './request-handler.ts'
export { createResponseBuffers, responseLimitsFor } from './response-buffers.ts'
export { createIngress } from './ingress.ts'
export { isConnectionHeader } from './gateway-response.ts'
export type { AttemptReport, RequestHandlerOptions } from './active-request.ts'
export type { RequestHandler } from './request-handler.ts'
export type { BackendTable, KnownBackend } from './backend-table.ts'
export type { RouteTable } from './route-table.ts'
export type { Ingress } from './ingress.ts'
