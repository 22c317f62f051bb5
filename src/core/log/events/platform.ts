import type { LogEventDefinition } from './types.ts'

/** Log events 600 to 699: the platform's services, duties, usage reports and the fleet. */
export const platformEvents = {
  keyValueDown: { number: 600, level: 'warn', text: 'The key-value service does not respond.', remedy: 'Check the service; until it responds, the node uses its last known content.' },
  keyValueUp: { number: 601, level: 'info', text: 'The key-value service responds again.', remedy: 'none' },
  storeRestored: { number: 602, level: 'warn', text: 'The key-value service was restored from an older copy; what was written since the copy is lost or written again.', remedy: 'none for a planned drill; otherwise check the service. See docs/operators/key-value-service.md.' },
  viewChangeFailed: { number: 603, level: 'error', text: 'A change of the key-value service could not be processed; the node goes on with the next ones.', remedy: 'Correct or delete the value; key is the first of the changes that were processed together. Report a bug with the fields of this event.' },
  nodeEntryUnreadable: { number: 604, level: 'warn', text: 'The registration of a node can not be read; it names no node.', remedy: 'Delete the entry; a node that runs registers again.' },
  storeWatchersChosen: { number: 605, level: 'info', text: 'Other nodes now watch the key-value service for this one, or this one does for the others.', remedy: 'none; if this happens repeatedly, check the connection of the former nodes to the key-value service.' },
  peerContentOld: { number: 606, level: 'warn', text: 'No node that watches the key-value service for this one has recent content; this node watches the service itself until one does.', remedy: 'Check the connection of the watching nodes to the key-value service, and the network between them and this node.' },
  dutyTaken: { number: 610, level: 'info', text: 'This node now holds a duty.', remedy: 'none' },
  dutyLost: { number: 611, level: 'warn', text: 'This node no longer holds a duty.', remedy: 'Another node takes over the duty; check the key-value service if this happens repeatedly.' },
  usageFixed: { number: 620, level: 'info', text: 'The usage counts of a window were written to the key-value service and no longer change.', remedy: 'none' },
  usageReported: { number: 621, level: 'info', text: 'The usage report of a window was sent to the platform.', remedy: 'none; the report is sent again until the platform accepts it.' },
  usageSkipped: { number: 622, level: 'warn', text: 'The usage of a window is not reported: the key-value service was restored, and the previous holder of the duty may have reported other counts.', remedy: 'Compare the usage of that window with the counters of the nodes.' },
  countOrdered: { number: 651, level: 'info', text: 'A number of backend servers was ordered from the platform.', remedy: 'See the result; the order is repeated until the number of serving backend servers matches it.' },
  dutyStepFailed: { number: 652, level: 'error', text: 'A periodic round of a duty failed unexpectedly.', remedy: 'Report a bug with the fields of this event; the next round runs as usual.' },
  fleetCallFailed: { number: 650, level: 'warn', text: 'A call of the fleet to the cloud or to a backend server failed.', remedy: 'The call is repeated under the same name, so nothing is done twice; check the cloud API if this persists.' }
} satisfies Record<string, LogEventDefinition>
