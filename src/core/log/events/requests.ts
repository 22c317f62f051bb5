import type { EventEntry } from './types.ts'

/** Log events 200 to 299: requests, limits, retries and routing. */
export const requestEvents = {
  requestRefused: { number: 200, level: 'info', text: 'A request was refused.', remedy: 'See the reason; the counters show how often.' },
  requestRetried: { number: 201, level: 'info', text: 'A request was tried again.', remedy: 'none' }
} satisfies Record<string, EventEntry>
