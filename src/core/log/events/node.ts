import type { LogEventDefinition } from './types.ts'

/** Log events 100 to 199: start, readiness and stop of a node. */
export const nodeEvents = {
  nodeStarted: { number: 100, level: 'info', text: 'The node started.', remedy: 'none' },
  nodeReady: { number: 101, level: 'info', text: 'The node became ready.', remedy: 'none' },
  nodeNotReady: { number: 102, level: 'warn', text: 'The node is not ready; the load balancer sends it no new requests.', remedy: 'See the reason in the event.' },
  nodeDraining: { number: 103, level: 'info', text: 'The node is stopping and finishes open requests first.', remedy: 'none' },
  draftsNotHandedOver: { number: 105, level: 'warn', text: 'It is unknown whether a peer took over some open drafts.', remedy: 'Callers of these drafts reconnect and may have to start again; check the connections between the nodes.' },
  memoryHigh: { number: 106, level: 'warn', text: 'The process uses a large part of the memory of its machine.', remedy: 'Compare the fields: responseMb is held for responses of backend servers, arrayBuffersMb for all bytes received or to be sent, heapMb for everything else. A backend server that sends without end shows in backendSuspected.' },
  processFailed: { number: 107, level: 'error', text: 'An error that nothing handles ends the process.', remedy: 'Report a bug with the cause. The open requests of this process end without an answer.' },
  nodeStopped: { number: 104, level: 'info', text: 'The node stopped.', remedy: 'none' }
} satisfies Record<string, LogEventDefinition>
