import type { LogEventDefinition } from './types.ts'

/** Log events 400 to 499: peers, membership and configuration. */
export const agreementEvents = {
  peerLost: { number: 400, level: 'warn', text: 'A peer is no longer reachable.', remedy: 'none' },
  peerSilent: { number: 401, level: 'warn', text: 'A connection to a peer timed out and was closed.', remedy: 'none; a new connection is opened when needed.' },
  peerRejected: { number: 402, level: 'warn', text: 'A connection of a peer was rejected.', remedy: 'Check that both nodes use the same cluster name, peer key and protocol version.' },
  peerHandlerFailed: { number: 403, level: 'error', text: 'A message of a peer could not be handled.', remedy: 'Report the cause as a bug; the peer was notified of the failure.' },
  peerJoined: { number: 404, level: 'info', text: 'A peer joined the membership.', remedy: 'none' },
  peerRefuted: { number: 405, level: 'warn', text: 'Other nodes considered this node dead, and it refuted that.', remedy: 'If this happens repeatedly, look for pauses of this process or packet loss on its network.' },
  instanceListFailed: { number: 406, level: 'warn', text: 'The instance list could not be read.', remedy: 'Check the instance list; until it can be read, nodes rely on their connections to each other.' },
  instancesUnreadable: { number: 419, level: 'warn', text: 'As many instances of the instance list as count says can not be read and were left out; logged when the number changes.', remedy: 'Correct the entries of the list.' },
  feedWatchLost: { number: 407, level: 'warn', text: 'A watch of the key-value service ended.', remedy: 'none; the watch is reopened. If this persists, check the service.' },
  feedDiverged: { number: 408, level: 'error', text: 'Two nodes have different content at the same revision of the key-value service.', remedy: 'Check whether the key-value service was restored from a backup; then restart the nodes.' },
  declarationUnreadable: { number: 409, level: 'error', text: 'A declaration in the key-value service is invalid; the previous one stays in effect.', remedy: 'Apply the team again with this version of the command line.' },
  nodeHeard: { number: 410, level: 'info', text: 'A report of another node arrived for the first time, or again after a pause.', remedy: 'none' },
  nodeSilent: { number: 411, level: 'warn', text: 'No report of another node arrived for some time.', remedy: 'Check that node and the network between both nodes.' },
  nodeReportUnreadable: { number: 412, level: 'warn', text: 'A report of another node could not be decoded; logged at most once a second.', remedy: 'Check that all nodes run the same version; node_reports_unreadable_total counts all of them.' },
  nodeReportFailed: { number: 420, level: 'error', text: 'A report of this node could not be put together; the next one follows at the next interval.', remedy: 'Report a bug with the fields of this event.' },
  nodeStopHeard: { number: 421, level: 'info', text: 'Another node reported that it is stopping.', remedy: 'none' },
  nodeServesAgain: { number: 422, level: 'info', text: 'Another node serves again after a planned stop.', remedy: 'none' },
  viewFromPeer: { number: 413, level: 'info', text: 'The content of the key-value service was copied from another node.', remedy: 'none; check the service if this persists.' },
  collectorChosen: { number: 414, level: 'info', text: 'This node now uses the totals of another collector of reports, or collects the reports itself.', remedy: 'none; if this happens repeatedly, check the network between both nodes.' },
  quotaLevelsUnreadable: { number: 416, level: 'warn', text: 'The stored levels of quota buckets could not be read; buckets begin empty.', remedy: 'none; the record is written again while a team is near its quota.' },
  quotaLevelsOutdated: { number: 418, level: 'warn', text: 'The key-value service was restored since the levels of quota buckets were stored; buckets begin empty.', remedy: 'none; refusals by quota end within seconds, as the buckets fill.' },
  nodesDeparted: { number: 417, level: 'info', text: 'The registrations of nodes that were not heard for a long time were deleted.', remedy: 'none; a node that still runs registers again.' },
  quotaBegan: { number: 415, level: 'info', text: 'The bucket of a team\'s quota began on this node: full, with the level of another node, or empty because no node knows what was admitted.', remedy: 'none; refusals by quota within seconds after an empty one follow from the restart of all nodes.' },
  quotaUnanswered: { number: 423, level: 'warn', text: 'The collector did not respond in time to quota requests, and this node decided alone; logged at most once a second, with the number since the previous line.', remedy: 'none while a collector stops or is replaced; if this persists, check the load of the collector and the network to it.' }
} satisfies Record<string, LogEventDefinition>
