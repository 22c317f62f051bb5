/** Explanations of all reasons, for "cyclamenshunt explain" and docs/ERRORS.md. */
import type { RecomputeCause, RefusalReason, RetryReason } from './index.ts'

/** What a reason means, and what a caller or operator can do about it. */
export interface Explanation {
  text: string
  remedy: string
}

/** Why a request was refused or ended without a complete response. */
export const refusalExplanations: Record<RefusalReason, Explanation> = {
  'bad-request': { text: 'The request is invalid.', remedy: 'Correct the error that the detail names.' },
  'body-missing': { text: 'The request has no body.', remedy: 'Send the content as the request body.' },
  'body-too-large': { text: 'The body is larger than limits.maxBodyBytes of the node.', remedy: 'Shorten the body, or raise the limit on all nodes.' },
  'body-truncated': { text: 'The body ended before its announced length.', remedy: 'Send the complete body.' },
  unauthorized: { text: 'The request has no token.', remedy: 'Send "Authorization: Bearer <token>".' },
  forbidden: { text: 'The token has no permission for this request.', remedy: 'Use a token of the team, or an operator token for the status.' },
  'unknown-team': { text: 'No team has this name.', remedy: 'Check the name; "cyclamenshunt get" lists the teams.' },
  'unknown-route': { text: 'The team has no route of this name and kind.', remedy: 'Check the route and its kind (drafts or calls) in the team\'s parameters.' },
  'deadline-past': { text: 'The deadline passed before there was a response.', remedy: 'Send a later deadline.' },
  'deadline-unreachable': { text: 'The deadline can\'t be met because of the requests in the queue.', remedy: 'Retry at retryAtMs, or send a later deadline.' },
  'queue-full': { text: 'The node\'s queue is full.', remedy: 'Retry at retryAtMs; if the error persists, add backend servers.' },
  'team-limit': { text: 'The team has reached its limits for concurrent and queued requests.', remedy: 'Retry at retryAtMs, or raise maxConcurrent or maxQueued.' },
  'no-backend': { text: 'No backend server of the team is available.', remedy: 'Retry at retryAtMs; see the fleet in "cyclamenshunt status".' },
  'backend-failed': { text: 'The backend server failed.', remedy: 'See the log of the backend server; retry with the same key if run isn\'t "done".' },
  'retry-budget': { text: 'The retry budget is used up.', remedy: 'Retry at retryAtMs; many requests are failing at the moment.' },
  'attempts-exhausted': { text: 'All allowed attempts of the request failed.', remedy: 'Retry later; see the retries by reason on /metrics.' },
  draining: { text: 'The node is shutting down.', remedy: 'Retry with the same key; the load balancer selects another node.' },
  'not-ready': { text: 'The node doesn\'t know the current configuration.', remedy: 'Retry at another node; see the reason on /readyz.' },
  'store-unavailable': { text: 'The request requires the key-value service, which doesn\'t respond.', remedy: 'Retry at retryAtMs; check the key-value service.' },
  'owner-unreachable': { text: 'The node that owns the idempotency key can\'t be reached.', remedy: 'Retry with the same key; another node takes over the key.' },
  'key-reused': { text: 'The idempotency key was already used with another body.', remedy: 'Use a new key for a new request.' },
  'key-expired': { text: 'The idempotency key is older than the retention period.', remedy: 'Check on the backend server whether the call ran.' },
  'key-missing': { text: 'A call that must not run twice has no idempotency key.', remedy: 'Send an Idempotency-Key header.' },
  'running-elsewhere': { text: 'The same call is already running.', remedy: 'Retry with the same key at retryAtMs to get its response.' },
  'answer-not-kept': { text: 'The call ran, but its response was too long to be stored for retries.', remedy: 'Look up the response on the backend server; don\'t send the call with a new key.' },
  'prompt-quarantined': { text: 'Prompts with the same text crashed backend servers one after the other.', remedy: 'Change the prompt. Operators: see "cyclamenshunt quarantine list".' },
  'backends-limited': { text: 'All backend servers of the team limit the requests that they take, and no permit is left.', remedy: 'Retry at retryAtMs; if it lasts, the team needs more backend servers.' },
  'prompt-suspected': { text: 'A backend server crashed on a prompt with the same text, and the outcome of another one is awaited.', remedy: 'Retry at retryAtMs.' },
  'request-quarantined': { text: 'The same request crashed backend servers one after the other.', remedy: 'Don\'t repeat the request. Operators: see "cyclamenshunt quarantine list".' },
  'request-suspected': { text: 'A backend server crashed under the same request, and the outcome of another attempt is awaited, or only one backend server is left.', remedy: 'Retry at retryAtMs.' },
  'caller-left': { text: 'The caller closed its connection.', remedy: 'None; it is counted separately because it isn\'t a failure.' }
}

/** Why an attempt was followed by another one. */
export const retryExplanations: Record<RetryReason, Explanation> = {
  'connect-failed': { text: 'The connection to the backend server could not be opened.', remedy: 'None, unless it happens repeatedly with one backend server.' },
  'backend-failed': { text: 'The attempt failed at the backend server.', remedy: 'Check the log of the backend server if it happens repeatedly.' },
  'backend-refused': { text: 'The backend server refused the attempt.', remedy: 'Check its version and its limits.' },
  'backend-leaving': { text: 'The backend server is shutting down.', remedy: 'None; expected when an instance is reclaimed.' },
  'stream-broken': { text: 'The connection to the backend server broke.', remedy: 'Check the backend server if it happens repeatedly.' },
  'stream-silent': { text: 'No data arrived on the connection to the backend server.', remedy: 'Check the network between node and backend server if it happens repeatedly.' },
  'answer-incomplete': { text: 'The response ended without its end marker, or with a gap.', remedy: 'Check the backend server if it happens repeatedly.' },
  'version-withdrawn': { text: 'The version was taken back.', remedy: 'None; see "cyclamenshunt moves list".' },
  overloaded: { text: 'The backend server reported that it is overloaded.', remedy: 'Add backend servers if the error persists.' },
  'owner-moved': { text: 'Another node took over the key or draft of the request.', remedy: 'None; expected when nodes join or leave.' }
}

/** Why tokens were recomputed. */
export const recomputeExplanations: Record<RecomputeCause, Explanation> = {
  'backend-reclaimed': { text: 'The backend server was reclaimed before the response was complete.', remedy: 'None; see the reclaims by domain and class.' },
  'backend-failed': { text: 'The backend server failed before the response was complete.', remedy: 'Check the backend server if it happens repeatedly.' },
  'node-lost': { text: 'The node that held the response failed without notice.', remedy: 'None, unless nodes fail often.' },
  'prefix-missed': { text: 'The prefix of the prompt was in the cache of another backend server.', remedy: 'None; a high share indicates too little cache memory.' },
  'version-changed': { text: 'No backend server ran the version that had begun the response.', remedy: 'None; expected when a version is taken back.' }
}
