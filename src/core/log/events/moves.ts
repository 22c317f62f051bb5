import type { LogEventDefinition } from './types.ts'

/** Log events 500 to 599: duties and version moves. */
export const moveEvents = {
  moveEnded: { number: 500, level: 'info', text: 'A version move ended.', remedy: 'none' },
  moveBraked: { number: 501, level: 'warn', text: 'The new version of a move performs worse than the old one and gets no new requests.', remedy: 'none; the move is rolled back. Check the route and the counts before you try the version again.' },
  serviceMoveSeen: { number: 502, level: 'info', text: 'A version move of a service was ordered; the new version runs beside the old one.', remedy: 'none' },
  serviceMoveBad: { number: 503, level: 'warn', text: 'The new version of a service performs worse than the old one and gets no new requests.', remedy: 'none; the move is rolled back. Check the route and the counts before you try the version again.' },
  serviceMoveState: { number: 504, level: 'info', text: 'The state of a service\'s version move was written to the key-value service.', remedy: 'none; a write that was not applied is repeated.' },
  serviceMoveHeld: { number: 505, level: 'info', text: 'A version move is not completed yet, because the new version has not been shown to be as good as the old one.', remedy: 'none; it is rolled back at its deadline unless that is shown in time. Repeat the move when the service is calm, or with a longer deadline if there were too few attempts.' },
  serviceMoveOldVersion: { number: 506, level: 'warn', text: 'What is known of the backend servers of the old version under a version move has changed: one runs, they are only registered, or none is left, so that all requests go to the new version.', remedy: 'If none is left, check why the old version stopped. Without a restore of the key-value service, it must run until the move is completed.' }
} satisfies Record<string, LogEventDefinition>
