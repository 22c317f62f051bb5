import type { EventEntry } from './types.ts'

/** Log events 400 to 499: peers, membership and configuration. */
export const agreementEvents = {
  peerLost: { number: 400, level: 'warn', text: 'A peer was lost.', remedy: 'none' }
} satisfies Record<string, EventEntry>
