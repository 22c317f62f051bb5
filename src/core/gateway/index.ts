/**
 * The gateway: callers' requests to the backend servers' own interface, passed
 * through unchanged, with routing, limits and repeats in between.
 */
export type * from './types.ts'
export { createBackendTable, servingVersion, trialVersion } from './backend-table.ts'
export { createRouteTable } from './route-table.ts'
export { createServeRequest } from './serve-request.ts'
export { createIngress } from './ingress.ts'
export { isConnectionHeader } from './answer.ts'
export type { AttemptReport, GatewayOptions } from './served.ts'
export type { ServeRequest } from './serve-request.ts'
export type { BackendTable, KnownBackend } from './backend-table.ts'
export type { RouteTable } from './route-table.ts'
export type { Ingress } from './ingress.ts'
