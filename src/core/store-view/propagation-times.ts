/**
 * The times within which a change at the key-value service takes effect on every node
 * that the service responds to, derived from the bound on the whole. In a large cluster
 * most nodes get changes from a few that watch the service. They can't tell a service
 * without changes from one that no longer responds to those few, so they take the age of
 * the watching nodes' content as the limit of what they know.
 */

/** The times that follow from a bound. */
export interface PropagationTimes {
  /** Longest duration of a long poll on behalf of other nodes. */
  longPollMs: number
  /** Age of a watching node's content from which the next node by rank watches the service, too. */
  takeoverAgeMs: number
  /** Age of all watching nodes' content from which a node watches the service itself; 0 if the bound leaves no time to depend on others. */
  maxPeerContentAgeMs: number
}

/** Options of `createPropagationTimes`. */
export interface PropagationTimesOptions {
  /** Time from a change's acknowledgement to its effect on the last node. */
  boundMs: number
  /** Interval at which nodes report to those that watch the service and get their changes. */
  reportIntervalMs: number
}

/** Time after the end of a long poll, or after a read was sent, at which the service counts as unresponsive; several times a usual response time. */
export const serviceResponseMs = 400
/** Usual pause between long polls, so that the next one returns several changes at once. */
export const watchBatchDelayMs = 200
/** Interval at which a node compares the age of others' content with its limit. */
export const peerCheckIntervalMs = 100
/** Longest duration of a long poll; limits how long a dead connection goes unnoticed. */
export const maxLongPollMs = 1_000
/** Shorter polls would cost the service as much as a watch of each node. */
const minLongPollMs = 200
/** Usual response time of the service, several times over. */
const usualResponseMs = 100
/** Reports, or their responses, that may be late or lost while a node goes on depending on others. */
const lostReports = 2

/** Derives the times from the bound. */
export function createPropagationTimes ({ boundMs, reportIntervalMs }: PropagationTimesOptions): PropagationTimes {
  // The last steps of a node that no longer gets changes from others: it notices that, and reads the service.
  const maxPeerContentAgeMs = boundMs - peerCheckIntervalMs - serviceResponseMs
  const takeoverAgeMs = maxPeerContentAgeMs - lostReports * reportIntervalMs
  // A response with changes proves what was known when its poll began. Before the next one come the pause, another poll, and the wait for a report.
  const longPollMs = Math.min(maxLongPollMs, Math.floor((takeoverAgeMs - reportIntervalMs - watchBatchDelayMs - usualResponseMs) / 2))
  if (longPollMs < minLongPollMs) return { longPollMs: maxLongPollMs, takeoverAgeMs: 0, maxPeerContentAgeMs: 0 }
  return { longPollMs, takeoverAgeMs, maxPeerContentAgeMs }
}
