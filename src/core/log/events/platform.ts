import type { EventEntry } from './types.ts'

/** Log events 600 to 699: the services of the platform and the fleet. */
export const platformEvents = {
  keyValueDown: { number: 600, level: 'warn', text: 'The key-value service does not answer.', remedy: 'Check the service; the node goes on with what it knows.' },
  keyValueUp: { number: 601, level: 'info', text: 'The key-value service answers again.', remedy: 'none' },
  dutyTaken: { number: 610, level: 'info', text: 'This node took a duty.', remedy: 'none' },
  dutyLost: { number: 611, level: 'warn', text: 'This node no longer holds a duty.', remedy: 'Another node takes it over; check the key-value service if this repeats.' },
  fleetCallFailed: { number: 650, level: 'warn', text: 'The cloud did not answer an order of the fleet.', remedy: 'The order is repeated under the same name; check the cloud API if this lasts.' }
} satisfies Record<string, EventEntry>
