import type { LogEventDefinition } from './types.ts'

/** Log events 200 to 299: requests, limits, retries and routing. */
export const requestEvents = {
  requestRefused: { number: 200, level: 'info', text: 'A request was refused.', remedy: 'See the reason; the metrics count refusals by reason.' },
  requestRetried: { number: 201, level: 'info', text: 'A request was retried.', remedy: 'none' },
  draftAdopted: { number: 202, level: 'info', text: 'This node took over a draft from another node.', remedy: 'none' },
  backendLeaving: { number: 205, level: 'info', text: 'A backend server is leaving and gets no new requests.', remedy: 'none' },
  draftTaskFailed: { number: 203, level: 'error', text: 'The task that runs a draft failed unexpectedly.', remedy: 'Report a bug with the fields of this event; the caller can repeat the request with the same key.' },
  requestFailed: { number: 204, level: 'error', text: 'Handling a request failed unexpectedly.', remedy: 'Report a bug with the fields of this event.' }
} satisfies Record<string, LogEventDefinition>
