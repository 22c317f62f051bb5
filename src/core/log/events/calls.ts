import type { EventEntry } from './types.ts'

/** Log events 300 to 399: at-most-once calls. */
export const callEvents = {
  callUnknown: { number: 300, level: 'warn', text: 'It is not known whether a call ran.', remedy: 'Look the call up at its backend server.' }
} satisfies Record<string, EventEntry>
