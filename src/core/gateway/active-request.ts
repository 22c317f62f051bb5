/** The state of a request that the gateway is serving, and the fields of its log events. */
import { createStreamProgress } from './attempt.ts'
import { stopDecisionFields } from '../planned-stops/index.ts'
import { digestRequest } from '../quarantine/index.ts'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Admission, RetryBudget } from '../admission/types.ts'
import type { BackendLimits } from '../backend-limits/index.ts'
import type { AnswerEnd, CallerConnections } from '../caller-connections/index.ts'
import type { Clock } from '../clock/index.ts'
import type { BackendId, DomainId, RequestDigest, TeamId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { OpenAttempt, StopDecision, StopGate } from '../planned-stops/index.ts'
import type { ClusterQuotas } from '../quota/index.ts'
import type { Admittance, Quarantine } from '../quarantine/index.ts'
import type { RouteChoice, Router } from '../routing/index.ts'
import type { MayUseDomain } from './allowed-domains.ts'
import type { Attempt, AttemptPhase, StreamProgress, CompleteResponse } from './attempt.ts'
import type { BackendTable } from './backend-table.ts'
import type { ResponseBuffers } from './response-buffers.ts'
import type { RouteTable } from './route-table.ts'
import type { GatewayRoute, GatewayTeam, HeaderCodec, RequestHead } from './types.ts'

/** Result of one attempt, for usage counts and the evaluation of versions. */
export interface AttemptReport {
  team: TeamId | undefined
  service: string
  route: string
  request: string
  backend: BackendId
  /** Whether it went to the canary version of a running move. */
  isCanary: boolean
  /** Whether the response was complete, in time and its status below 500. */
  ok: boolean
}

/** A latency of one attempt: until the first byte, or on average between two events of a stream. */
export interface LatencyReport {
  service: string
  route: string
  isCanary: boolean
  kind: 'first-byte' | 'between-events'
  latencyMs: number
  /** Whether the attempt was aborted before the latency was complete. */
  isLowerBound: boolean
}

/** Dependencies and callbacks of the request handler. */
export interface RequestHandlerOptions {
  clock: Clock
  log: Log
  metrics: Metrics
  codec: HeaderCodec
  router: Router
  admission: Admission
  quotas: Pick<ClusterQuotas, 'take' | 'explain'>
  retryBudget: RetryBudget
  /** Refuses requests that crash backend servers. */
  quarantine: Pick<Quarantine, 'admit' | 'find' | 'isQuiet' | 'recordCrash' | 'recordAnswer' | 'onQuarantined'>
  backends: BackendTable
  limits: Pick<BackendLimits, 'recordResponse' | 'recordDemand' | 'take' | 'isLimited'>
  /** Memory for responses, of all requests together. */
  buffers: ResponseBuffers
  /** Routes of the configuration in effect; undefined before the first one arrives. */
  routeTable: () => RouteTable | undefined
  /** Resolves once there is a configuration, at the latest when it is no use to wait for it or `ended` is aborted. */
  whenConfigured: (ended: AbortSignal) => Promise<void>
  /** The region of a failure domain; undefined if it isn't known. */
  regionOf: (domain: DomainId) => string | undefined
  /** Share of a service's requests that goes to its canary version, 0 to 1. */
  canaryShare: (service: string) => number
  /** Called when a backend server begins to respond to a request of a team. */
  onStarted: (team: TeamId) => void
  /** Called when an attempt is sent; `workMs` estimates how long it occupies a backend server of the service. */
  onSent: (attempt: { service: string, isCanary: boolean, workMs: number }) => void
  onAttempt: (report: AttemptReport) => void
  /** Called when a latency of an attempt is known, which may be long before the attempt ends. */
  onLatency: (report: LatencyReport) => void
  /** Aborted when the node ends the requests that are still open at the end of a stop. */
  stopped: AbortSignal
  stopGate: StopGate
  /** Retry time for the callers that a stopping node refuses. */
  stoppingRetryMs: () => number
  onAnswerClosed: CallerConnections['onAnswerClosed']
  /** Whether this node learns of the others' load soon enough to compare all backend servers without many nodes choosing the same one. */
  hasRecentLoads: () => boolean
  /** A uniformly distributed number from 0 to 1, the same for the same text. */
  draw: (text: string) => number
  /** Random number from 0 to 1 for the jitter of retry times. */
  random: () => number
}

/** An accepted request with the state of its attempts. */
export interface ActiveRequest {
  id: string
  route: GatewayRoute
  team: GatewayTeam | undefined
  head: RequestHead
  body: Buffer | undefined
  /** The digest of the whole request, computed when it is first needed. */
  digest: () => RequestDigest
  /** Wall times of the arrival and of the deadline for the complete response. */
  arrivedAtMs: number
  deadlineAtMs: number
  /** Version of the configuration that the request was accepted under. */
  version: number
  request: IncomingMessage
  response: ServerResponse
  service: string
  /** The failure domains whose backend servers it may be sent to. */
  mayUseDomain: MayUseDomain
  progress: StreamProgress
  /** Backend servers that may have executed the request. */
  mayHaveRunOn: Set<BackendId>
  /** Backend servers that are not chosen again for this request. */
  excluded: Set<BackendId>
  /** Attempts that a backend server received or may have received, without `uncountedAttempt`. */
  sentCount: number
  /** Attempts that failed to connect, or reached another server than the chosen one. */
  undeliveredCount: number
  /** Backend servers that it was not sent to because of their limits. */
  limitedBackends: Set<BackendId>
  attempt: Attempt | undefined
  /** The latest attempt, while neither `sentCount` nor `undeliveredCount` includes it. */
  uncountedAttempt: Attempt | undefined
  /** The latest attempt as the gate of a stopping node sees it. */
  openAttempt: OpenAttempt | undefined
  /** The latest decision of that gate; undefined if the request was sent before the stop. */
  stopDecision: StopDecision | undefined
  /** How far the latest attempt had come when it ended. */
  endedInPhase: AttemptPhase | undefined
  /** Whether a backend server crashed under an attempt without a complete answer. */
  hasCrashedBackend: boolean
  /** Why the request must not be sent again. */
  blockedBy: BlockedRequest | undefined
  /** The admittance of a retry after such an attempt, until the retry is sent. */
  retryAdmittance: Admittance | undefined
  /** Aborted when the caller disconnects or the deadline passes. */
  ended: AbortController
  isCallerGone: boolean
  /** Whether the node aborted the response. */
  isCut: boolean
  /** Status of the backend server's response that was forwarded completely. */
  forwardedStatus: number | undefined
  /** Set once the response was delivered (`end` is undefined), or its connection has ended. */
  closed: { end: AnswerEnd | undefined } | undefined
  isTimedOut: boolean
  /** Whether the node stopped before the request had ended. */
  isStopped: boolean
  choice: RouteChoice | undefined
  /** Time from arrival to the first byte of a backend server's response. */
  firstByteMs: number | undefined
  /** A 5xx response of a backend server, forwarded if no later attempt succeeds. */
  failureResponse: CompleteResponse | undefined
}

/** Creates the state of an accepted request, before its first attempt. */
export function createActiveRequest (accepted: Pick<ActiveRequest, 'id' | 'route' | 'team' | 'head' | 'version' | 'body' | 'arrivedAtMs' | 'request' | 'response' | 'service' | 'mayUseDomain'>): ActiveRequest {
  const { arrivedAtMs, route, head } = accepted
  let digest: RequestDigest | undefined
  return {
    ...accepted,
    digest: () => {
      digest ??= digestOf(accepted)
      return digest
    },
    deadlineAtMs: arrivedAtMs + Math.min(route.timeoutMs, head.callerTimeoutMs ?? Infinity),
    progress: createStreamProgress(),
    mayHaveRunOn: new Set(),
    excluded: new Set(),
    sentCount: 0,
    undeliveredCount: 0,
    limitedBackends: new Set(),
    attempt: undefined,
    uncountedAttempt: undefined,
    openAttempt: undefined,
    stopDecision: undefined,
    endedInPhase: undefined,
    hasCrashedBackend: false,
    blockedBy: undefined,
    retryAdmittance: undefined,
    ended: new AbortController(),
    isCallerGone: false,
    isCut: false,
    forwardedStatus: undefined,
    closed: undefined,
    isTimedOut: false,
    isStopped: false,
    choice: undefined,
    firstByteMs: undefined,
    failureResponse: undefined
  }
}

function digestOf ({ request, team, body }: Pick<ActiveRequest, 'request' | 'team' | 'body'>): RequestDigest {
  return digestRequest({ method: request.method ?? '', host: request.headers.host ?? '', path: request.url ?? '', team: team?.team, body })
}

/** Units of its team's quota that a request uses: itself, or its tokens. */
export function quotaUnitsOf ({ team, head }: Pick<ActiveRequest, 'team' | 'head'>): number {
  if (team?.quota?.countsTokens !== true) return 1
  return head.tokens === undefined ? team.defaultTokens : head.tokens.prompt + head.tokens.answer
}

/** Why a request is not sent, and when a retry may succeed. */
export type BlockedRequest = Pick<Extract<Admittance, { kind: 'refused' }>, 'reason' | 'detail' | 'retryAtMs'>

const maxLoggedParts = 8
const maxLoggedBackends = 4

/** Fields for the log events of a request, such as its route and the chosen backend server. Durations are in ms. */
export function requestLogFields (active: ActiveRequest, clock: Clock): Record<string, unknown> {
  const { id, team, route, version, service, sentCount, uncountedAttempt, stopDecision, limitedBackends, undeliveredCount, choice, arrivedAtMs, firstByteMs, endedInPhase, head } = active
  const hasNoAnswer = endedInPhase === 'waiting' || endedInPhase === 'started'
  return {
    request: id,
    team: team?.team,
    route: route.name,
    version,
    service,
    sent: sentCount + (uncountedAttempt?.isSent() === true ? 1 : 0),
    unreached: undeliveredCount,
    phase: endedInPhase,
    limited: limitedBackends.size === 0 ? undefined : [...limitedBackends].slice(0, maxLoggedBackends),
    // Only of attempts without an answer, where the request or a part of its prompt may be the cause.
    requestDigest: hasNoAnswer ? active.digest() : undefined,
    promptParts: hasNoAnswer ? head.sharedParts.slice(0, maxLoggedParts) : undefined,
    backend: choice?.backend.id,
    chosenFor: choice?.reason,
    expectedMs: choice === undefined ? undefined : Math.round(choice.expectedFirstTokenMs),
    cachedTokens: choice?.expectedCachedTokens,
    fetchFrom: choice?.fetchFrom?.id,
    promptTokens: choice?.promptTokens,
    firstByteMs: firstByteMs === undefined ? undefined : Math.round(firstByteMs),
    tookMs: Math.round(clock.wallMs() - arrivedAtMs),
    stopDecision: stopDecisionFields(stopDecision)
  }
}
