/** Types of the speeds of backend servers, which all nodes learn together. */
import type { Clock } from '../clock/index.ts'
import type { BackendId, NodeId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { EngineProfile } from '../routing/engine-profile.ts'

/**
 * Sums over the samples of one start of a backend server. Tokens are those ahead of the
 * first token: the prompt's own that aren't cached, and the known pending ones. Gaps are
 * the times between the events of a stream.
 */
export type ServerSums = readonly [samples: number, tokens: number, measuredMs: number, gaps: number, gapMs: number]

/** Sums over the samples of a service, in thousands of tokens, for a linear fit; then the sums over requests that fetched a cached prefix, whose measured time is without that of the link. */
export type ServiceSums = readonly [samples: number, kilotokens: number, measuredMs: number, kilotokensSquared: number, kilotokensTimesMs: number, fetches: number, fetchKilotokens: number, fetchMs: number, gaps: number, gapMs: number, streams: number]

/** The sums of one start of a backend server. */
export interface ReportedServer {
  backend: BackendId
  /** Wall time of the start of its process. */
  startedAtMs: number
  sums: ServerSums
}

/** A part of what one node measured, or of the totals of several nodes; each item replaces the earlier one of the same sender. */
export interface SpeedReport {
  servers: readonly ReportedServer[]
  services: ReadonlyArray<{ service: string, sums: ServiceSums }>
}

/** The first token of a stream. */
export interface SpeedSample {
  backend: BackendId
  /** Profile of its service that the operator's configuration states. */
  stated: EngineProfile
  /** Prompt tokens that were computed before the first token, as far as known. */
  tokens: number
  measuredMs: number
  /** Time of the link to fetch a cached prefix; undefined if none was fetched. */
  linkMs: number | undefined
}

/** The pace of a stream: the number of gaps between its events, and the time from the first to the last event. */
export interface PaceSample {
  backend: BackendId
  stated: EngineProfile
  gaps: number
  sumMs: number
}

/** A registered backend server. */
export interface MeasuredBackend {
  service: string
  /** Wall time of the start of its process. Without it, a restart can't be recognised and nothing is learned. */
  startedAtMs?: number | undefined
}

/** Options of the speeds of one node. */
export interface BackendSpeedsOptions {
  clock: Clock
  log: Log
  metrics: Metrics
  backendOf: (id: BackendId) => MeasuredBackend | undefined
  /** Whether this node logs backend servers that deviate; only some nodes do, as all learn the same. */
  isLogging: () => boolean
}

/** What this node knows of the speeds of backend servers. */
export interface BackendSpeeds {
  record: (sample: SpeedSample) => void
  recordPace: (sample: PaceSample) => void
  /** The profile of one backend server; undefined as long as its service has few samples or its engines aren't measured. */
  profileOf: (backend: BackendId, stated: EngineProfile) => EngineProfile | undefined
  /** The next part of this node's sums, for its report. */
  report: () => SpeedReport
  /** Records what another node reported, or a collector's totals. */
  merge: (source: NodeId, report: SpeedReport) => void
  /** Discards the sums of a source that is silent or no longer used. */
  removeSource: (source: NodeId) => void
}
