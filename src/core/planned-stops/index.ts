/**
 * Planned stops of a node: when open requests are ended, which requests are still
 * taken and sent, and what the log tells of them. Nothing here depends on the gateway.
 */
export type * from './types.ts'
export { createStopDecisions } from './stop-decisions.ts'
export { stopDecisionFields, stoppedFields } from './stop-decision-fields.ts'
export { createStopGate } from './stop-gate.ts'
export { createStopTimes } from './stop-times.ts'
export type { StopDecisions } from './stop-decisions.ts'
export type { StopGate } from './stop-gate.ts'
export type { StopTimes } from './stop-times.ts'
