import type { EventEntry } from './types.ts'

/** Log events 500 to 599: duties and version moves. */
export const moveEvents = {
  moveEnded: { number: 500, level: 'info', text: 'A version move ended.', remedy: 'none' },
  moveBraked: { number: 501, level: 'warn', text: 'A version was found bad; it gets no new requests.', remedy: 'none; the move is taken back. Look at the route and the counts before the version is tried again.' }
} satisfies Record<string, EventEntry>
