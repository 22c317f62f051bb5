/** The catalogue of all log events; `npm run generate` renders it to docs/EVENTS.md. */
import { nodeEvents } from './node.ts'
import { requestEvents } from './requests.ts'
import { callEvents } from './calls.ts'
import { agreementEvents } from './agreement.ts'
import { moveEvents } from './moves.ts'
import { platformEvents } from './platform.ts'
import { gatewayEvents } from './gateway.ts'

export type { LogEventDefinition } from './types.ts'

export const eventCatalogue = {
  ...nodeEvents,
  ...requestEvents,
  ...callEvents,
  ...agreementEvents,
  ...moveEvents,
  ...platformEvents,
  ...gatewayEvents
} as const

/** The name of a log event. */
export type EventName = keyof typeof eventCatalogue
