/**
 * Types of the gateway, which forwards callers' requests to the backend servers
 * byte for byte.
 */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'
import type { ColdLimit, NamedLimit } from '../backend-limits/index.ts'
import type { BackendId, DomainId, PromptPartId, RequestId, TeamId, VersionId } from '../ids/index.ts'
import type { RequestKind } from '../planned-stops/index.ts'
import type { QuotaLimit } from '../quota/index.ts'
import type { PromptBlocks } from '../routing/index.ts'

export type { RequestKind } from '../planned-stops/index.ts'

/** Share of a route's requests that a service gets. */
export interface ServiceWeight {
  service: string
  weight: number
}

/** A route of the operator's configuration. */
export interface GatewayRoute {
  name: string
  /** Host name in lower case. */
  host: string
  /** Begins and ends with a slash. */
  pathPrefix: string
  kind: RequestKind
  /** Whether a broken stream may resume at another backend server after its last event. */
  isResumable: boolean
  /** Longest time from the arrival of a request to the end of its response. */
  timeoutMs: number
  /** Target for the time to the response, or to the first event of a stream. */
  latencyTargetMs: number
  /** Target for the longest pause between two events of a stream. */
  eventGapTargetMs?: number
  /** Priority of requests; 0 is the highest. */
  rank: number
  services: ServiceWeight[]
  /** Maximum number of backend servers that one request is sent to. */
  maxBackends: number
  allowsAnonymous: boolean
  /** Regions whose backend servers may get its requests; undefined without a restriction. */
  allowedRegions?: ReadonlySet<string>
}

/** Limits and prices for ordering backend servers of a service. */
export interface ServiceScaling {
  minPerDomain: number
  maxPerDomain: number
  /** Time from the order of a backend server until it serves. */
  bootMs: number
  /** Price of a reclaimable backend server relative to an on-demand one; undefined when none are offered. */
  reclaimablePriceRatio?: number
  domainPrices: Map<DomainId, number>
}

/** A service of the configuration. */
export interface GatewayService {
  name: string
  /** Maximum connections that one backend server accepts from all nodes together. */
  maxConnections: number
  /** Set for model engines: requests in a batch, tokens in the KV cache, and the time to fetch the cache of one token from another engine. */
  engine?: { slots: number, cacheTokens: number, fetchMsPerToken?: number }
  /** Limit of each cold backend server; undefined without one. */
  cold?: ColdLimit
  scaling?: ServiceScaling
}

/** A team with the API keys of its callers. */
export interface GatewayTeam {
  team: TeamId
  keys: string[]
  /** Overrides the rank of the route. */
  rank?: number
  /** Regions whose backend servers may get its requests, in addition to the restriction of the route; undefined without one. */
  allowedRegions?: ReadonlySet<string>
  /** Tokens that a request without a token count is charged. */
  defaultTokens: number
  /** Quota over all nodes together; undefined without a limit. */
  quota?: QuotaLimit
}

/** The complete configuration at one version. */
export interface GatewayConfiguration {
  version: number
  routes: GatewayRoute[]
  services: GatewayService[]
  limits: { maxHeaderBytes: number, maxBodyBytes: number, headerTimeoutMs: number, idleTimeoutMs: number }
  /** Undefined when callers need no API key. */
  teams?: GatewayTeam[]
}

/** The registration of a backend server. */
export interface BackendEntry {
  id: BackendId
  service: string
  address: { host: string, port: number }
  domain: DomainId
  version: VersionId
  slots: number
  isLeaving: boolean
  /** Remaining time for which it calls itself cold. */
  warmUpMs: number
  /** Whether the cloud may reclaim it. */
  isReclaimable: boolean
  /** Time until it stops, once that is known. */
  leavesInMs?: number
  /** Wall time of its start, if it reported one. */
  startedAtMs?: number
}

/** What the gateway reads from the headers of a request. */
export interface RequestHead {
  request: RequestId | undefined
  /** Time that the caller waits for the response, from the arrival of the request. */
  callerTimeoutMs: number | undefined
  key: string | undefined
  /** Tokens of the prompt, and maximum tokens of the response. */
  tokens: { prompt: number, answer: number } | undefined
  prompt: PromptBlocks | undefined
  /** The parts of the prompt that other requests may share, whatever their position; without the last part, which belongs to this request. */
  sharedParts: PromptPartId[]
  /** Id of the last event that the caller received of an earlier stream. */
  lastEventId: string | undefined
}

/** What the gateway adds to the caller's headers for one attempt. */
export interface ForwardContext {
  backend: BackendId
  team: TeamId | undefined
  deadlineAtMs: number
  rank: number
  lastEventId: string | undefined
  /** Backend server to fetch the cached prefix of the prompt from. */
  fetchFrom: { host: string, port: number } | undefined
}

/** What the gateway reads from the headers of a backend server's response. */
export interface ResponseHead {
  /** Id of the request that the response belongs to. */
  request: string | undefined
  /** Whether the backend server states that it did not run the request. */
  isNotRun: boolean
  /** Whether it carries the signature of a backend server. */
  isSigned: boolean
  /** Whether the backend server is about to leave. */
  isLeaving: boolean
  /** What it says of the requests a second that the backend server takes. */
  requestLimit: NamedLimit
}

/** Reads and writes the headers of callers and backend servers, so that the gateway doesn't depend on their names. */
export interface HeaderCodec {
  readRequest: (headers: IncomingHttpHeaders) => RequestHead
  /** Headers for the backend server, as a flat list of names and values. */
  forwardedHeaders: (request: IncomingMessage, head: ForwardContext, bodyBytes: number, nowMs: number) => string[]
  readResponse: (status: number, headers: Record<string, string | string[] | undefined>) => ResponseHead
}
