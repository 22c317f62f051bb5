/** What each reason means, for people: "cyclamenshunt explain" and docs/ERRORS.md. */
import type { RecomputeCause, RefusalReason, RetryReason } from './index.ts'

/** Meaning of a reason and what a caller or operator can do. */
export interface Explanation {
  text: string
  remedy: string
}

/** Why a request was refused or given up. */
export const refusalExplanations: Record<RefusalReason, Explanation> = {
  'bad-request': { text: 'The request can\'t be read.', remedy: 'Correct what the detail names.' },
  'body-missing': { text: 'The request has no body.', remedy: 'Send the content as the body.' },
  'body-too-large': { text: 'The body is larger than limits.maxBodyBytes of the node.', remedy: 'Shorten it, or raise the limit at all nodes.' },
  'body-truncated': { text: 'The body ended early.', remedy: 'Send it whole.' },
  unauthorized: { text: 'The request has no token.', remedy: 'Send "Authorization: Bearer <token>".' },
  forbidden: { text: 'The token isn\'t one of those declared for this.', remedy: 'Use the team\'s token, or an operator\'s for the status.' },
  'unknown-team': { text: 'No team of that name is in force.', remedy: 'Check the name; "cyclamenshunt get" lists the teams.' },
  'unknown-route': { text: 'The team has no such route.', remedy: 'Check the route and its kind (drafts or calls) in the team\'s parameters.' },
  'deadline-past': { text: 'The deadline was past before an answer was there.', remedy: 'Send a later deadline.' },
  'deadline-unreachable': { text: 'The deadline can\'t be met with what is waiting.', remedy: 'Come back at retryAtMs, or send a later deadline.' },
  'queue-full': { text: 'The node\'s queue is full.', remedy: 'Come back at retryAtMs; if it lasts, more backend servers are needed.' },
  'team-limit': { text: 'The team has as many requests in flight and waiting as its parameters allow.', remedy: 'Come back at retryAtMs, or raise maxConcurrent or maxQueued.' },
  'no-backend': { text: 'No backend server of the team is usable.', remedy: 'Come back at retryAtMs; see the fleet in "cyclamenshunt status".' },
  'backend-failed': { text: 'The backend server failed.', remedy: 'See the backend server\'s log; repeat with the same key when run isn\'t "done".' },
  'retry-budget': { text: 'The share of retries in the traffic is used up.', remedy: 'Come back at retryAtMs; a wave of failures is going on.' },
  'attempts-exhausted': { text: 'Every attempt that a request may have failed.', remedy: 'Repeat later; see the retries by reason on /metrics.' },
  draining: { text: 'The node is about to stop.', remedy: 'Repeat with the same key; the balancer leads to another node.' },
  'not-ready': { text: 'The node doesn\'t know the configuration in force.', remedy: 'Repeat at another node; see the reason on /readyz.' },
  'store-unavailable': { text: 'The key-value service is needed for this and doesn\'t answer.', remedy: 'Come back at retryAtMs; check the service.' },
  'owner-unreachable': { text: 'The node that owns the call\'s key can\'t be reached.', remedy: 'Repeat with the same key; another node takes the key over.' },
  'key-reused': { text: 'The idempotency key came before with another body.', remedy: 'Use a new key for a new request.' },
  'key-expired': { text: 'The idempotency key is older than what is kept.', remedy: 'Look up at the backend server whether the call ran.' },
  'key-missing': { text: 'A call that may not be repeated came without an idempotency key.', remedy: 'Send an Idempotency-Key.' },
  'running-elsewhere': { text: 'The same call is running.', remedy: 'Repeat with the same key at retryAtMs for its answer.' },
  'answer-not-kept': { text: 'The call ran; its answer was too long to be kept for repeats.', remedy: 'Look the answer up at the backend server; don\'t send the call under a new key.' },
  'caller-left': { text: 'The caller closed its connection.', remedy: 'None; counted so that it isn\'t taken for a failure.' }
}

/** Why an attempt was followed by another. */
export const retryExplanations: Record<RetryReason, Explanation> = {
  'connect-failed': { text: 'No connection to the backend server came about.', remedy: 'None unless it repeats for one backend server.' },
  'backend-failed': { text: 'The backend server failed the attempt.', remedy: 'Check the backend server\'s log if it repeats.' },
  'backend-refused': { text: 'The backend server refused the attempt.', remedy: 'Check what it runs and its limits.' },
  'backend-leaving': { text: 'The backend server is leaving.', remedy: 'None; expected in a reclaim.' },
  'stream-broken': { text: 'The connection to the backend server broke.', remedy: 'Check the backend server if it repeats.' },
  'stream-silent': { text: 'The connection to the backend server went silent.', remedy: 'Check what stands between both if it repeats.' },
  'answer-incomplete': { text: 'The answer ended without its end mark or with a gap.', remedy: 'Check the backend server if it repeats.' },
  'version-withdrawn': { text: 'The version was taken back.', remedy: 'None; see "cyclamenshunt moves list".' },
  overloaded: { text: 'The backend server said that it is overloaded.', remedy: 'More backend servers are needed if it lasts.' },
  'owner-moved': { text: 'Another node took over what the request needs.', remedy: 'None; expected when nodes come and go.' }
}

/** Why tokens were computed again. */
export const recomputeExplanations: Record<RecomputeCause, Explanation> = {
  'backend-reclaimed': { text: 'The backend server was reclaimed before the answer was whole.', remedy: 'None; see the reclaims by domain and class.' },
  'backend-failed': { text: 'The backend server failed before the answer was whole.', remedy: 'Check the backend server if it repeats.' },
  'node-lost': { text: 'The node that held the answer was lost without notice.', remedy: 'None unless nodes are lost often.' },
  'prefix-missed': { text: 'The prompt\'s beginning was in another backend server\'s cache.', remedy: 'None; a high share means too little cache memory.' },
  'version-changed': { text: 'No backend server ran the version that began the answer.', remedy: 'None; expected when a version is taken back.' }
}
