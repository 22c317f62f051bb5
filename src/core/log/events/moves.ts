import type { EventEntry } from './types.ts'

/** Log events 500 to 599: duties and version moves. */
export const moveEvents = {
  moveEnded: { number: 500, level: 'info', text: 'A version move ended.', remedy: 'none' }
} satisfies Record<string, EventEntry>
