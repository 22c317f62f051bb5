import type { LogEventDefinition } from './types.ts'

/** Log events 700 to 799: requests that the gateway forwards, and its view of backend servers and configuration. */
export const gatewayEvents = {
  gatewayAnswered: { number: 700, level: 'info', text: 'A response of a backend server was delivered to the caller\'s connection.', remedy: 'none' },
  gatewayRefused: { number: 701, level: 'info', text: 'The node answered a request itself, without a backend server.', remedy: 'See the reason and the other fields of the event.' },
  gatewayRetried: { number: 702, level: 'info', text: 'A request is retried at another backend server.', remedy: 'none' },
  gatewayCut: { number: 703, level: 'warn', text: 'A response was aborted after a part of it had been sent.', remedy: 'See the cause; the connection to the caller was closed.' },
  gatewayLeft: { number: 704, level: 'info', text: 'The caller disconnected before the response was complete.', remedy: 'none' },
  answerNotDelivered: { number: 706, level: 'warn', text: 'The connection to the caller ended before the answer was delivered.', remedy: 'See the reason: stop-deadline (the node stopped first), crossed-close (the request was read after the node had ended its side, and was not run) or caller-closed. phase tells how far the answer had come, waitingBytes what the caller had not read.' },
  gatewayFailed: { number: 705, level: 'error', text: 'Handling a request failed unexpectedly.', remedy: 'Report a bug with the fields of this event.' },
  backendChanged: { number: 710, level: 'info', text: 'A backend server registered or changed its state.', remedy: 'none' },
  backendEntryInvalid: { number: 726, level: 'warn', text: 'An entry among those of the backend servers is not sound; it names no backend server, and the others hold. Logged once until the entry is sound again.', remedy: 'See the cause; correct or delete the entry, or the program that writes it.' },
  backendRemoved: { number: 711, level: 'info', text: 'A backend server is no longer registered.', remedy: 'none' },
  backendSuspected: { number: 712, level: 'warn', text: 'A backend server is suspected to have failed and gets no new requests for a while.', remedy: 'Check the backend server if it remains suspected.' },
  backendLeaving: { number: 714, level: 'info', text: 'A backend server said in a response that it is about to leave, to this node or another one; it gets no new requests.', remedy: 'none' },
  backendPaused: { number: 715, level: 'info', text: 'A backend server asked this node for a pause and gets no requests until it ends.', remedy: 'none; if it happens often, the service needs more backend servers. askedMs is set if the pause was longer than allowed.' },
  backendPauseInvalid: { number: 716, level: 'warn', text: 'A backend server sent a Retry-After that is not a number of seconds; it is ignored.', remedy: 'Correct the backend server.' },
  backendLimitNamed: { number: 718, level: 'info', text: 'A backend server named the number of requests a second that it takes from all nodes together, or another number than before.', remedy: 'none; if it lasts, the service needs more backend servers.' },
  backendLimitEnded: { number: 719, level: 'info', text: 'A backend server no longer limits the requests that it takes.', remedy: 'none' },
  backendLimitSkipped: { number: 725, level: 'info', text: 'Requests were not sent to a backend server because of its limit; logged at most every five seconds for each one.', remedy: 'none; skipped and sent count since the limit was named.' },
  backendLimitInvalid: { number: 724, level: 'warn', text: 'A backend server named a request limit that is not a decimal number; it is ignored.', remedy: 'Correct the backend server.' },
  backendAvoided: { number: 713, level: 'warn', text: 'Other nodes can not reach a backend server, so this node avoids it, or no longer does.', remedy: 'Check the backend server if it remains avoided.' },
  backendCrashed: { number: 717, level: 'warn', text: 'A backend server crashed before it had answered this request; the request and the parts of its prompt are suspected until they are answered elsewhere.', remedy: 'Check the log of the backend server. If it happens repeatedly, see promptQuarantined.' },
  configurationTaken: { number: 720, level: 'info', text: 'A new configuration is in effect on this node.', remedy: 'none' },
  configurationUnreadable: { number: 721, level: 'error', text: 'A configuration is invalid and was ignored.', remedy: 'The previous configuration stays in effect; correct the stored one.' },
  configurationPartInvalid: { number: 727, level: 'error', text: 'A route, service or team of a configuration is invalid and was left out, or a limit has its default instead; the others hold.', remedy: 'Correct the part in the next version of the configuration; count tells how many are invalid.' },
  storeHistoryLost: { number: 722, level: 'warn', text: 'The key-value service no longer has the history that a watch needs; all keys are listed again.', remedy: 'none' },
  promptQuarantined: { number: 730, level: 'error', text: 'The same request (requestDigest), or prompts with all of these parts, crashed backend servers; such requests are refused until untilMs.', remedy: 'Find the callers by team and route, or by the requests of the backendCrashed events with these parts. After the cause is removed, lift the quarantine.' },
  promptReleased: { number: 731, level: 'info', text: 'The same request, or prompts with these parts, are no longer refused.', remedy: 'none; see the cause.' },
  promptTrial: { number: 732, level: 'info', text: 'One request that is quarantined, or has quarantined parts, is sent as a trial.', remedy: 'none' },
  quarantineUnreadable: { number: 733, level: 'error', text: 'The stored quarantine records, or as many of them as invalid says, can not be read and were ignored.', remedy: 'Correct or delete the stored value.' },
  linesDropped: { number: 723, level: 'warn', text: 'Log lines were dropped because the log\'s limit was exceeded.', remedy: 'Use the metrics for complete counts.' }
} satisfies Record<string, LogEventDefinition>
