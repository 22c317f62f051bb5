/**
 * Request limits that backend servers in need name for all nodes together. Nodes tell one
 * another what they were told, divide each limit among the nodes that hear one another, and
 * every attempt takes a permit at the moment it is sent. A node in doubt sends less: one that
 * hears few others has a small part of the limit, and one that has just learned of it begins
 * without a permit. A backend server that is cold has a limit from the configuration in addition
 * (`cold-servers.ts`); a request needs a permit of each limit.
 */
import { effectiveLimit } from './allocation.ts'
import { createColdServers } from './cold-servers.ts'
import { createDemandMeter } from './demand.ts'
import { addResponse, isInForce, reportDelayMs } from './evidence.ts'
import { classOf, createKnownLimit, keyOf } from './known-limit.ts'
import { createPermitBucket } from './permits.ts'
import { maxReportedLimits, selectLimits } from './report-selection.ts'
import { allocationTtlMs, createLimitShares } from './shares.ts'
import type { NodeId } from '../ids/index.ts'
import type { LimitEvidence, LimitResponse } from './evidence.ts'
import type { NamedLimit } from './parse.ts'
import type { KnownLimit } from './known-limit.ts'
import type { PermitBucket } from './permits.ts'
import type { DividedLimit } from './shares.ts'
import type { BackendLimits, BackendLimitsOptions, LimitedBackend, LimitReport, LimitState, Permit, PermitClaim, ReportedLimit, ReportedShare } from './types.ts'

export type * from './types.ts'
export { parseNamedLimit, requestLimitHeader } from './parse.ts'
export type { NamedLimit } from './parse.ts'
export { decodeLimits, encodeLimits } from './wire.ts'
export type { WireLimits } from './wire.ts'

const secondMs = 1_000
/** Time after which the evidence of a backend server is deleted that isn't registered. */
const maxUnregisteredMs = 30_000
/** Most backend servers that aren't registered, or named an invalid limit, that are remembered. */
const maxUnregistered = 1_024
/** Longest time over which refused callers are told to come back. */
const maxRetryMs = 5_000
/** Interval at which requests that were sent elsewhere are logged, for each backend server. */
const skipLogIntervalMs = 5_000

const noPermitNeeded: Permit = { giveBack: () => {} }

/** Creates the limits of one node. */
export function createBackendLimits (options: BackendLimitsOptions): BackendLimits {
  const { clock, log, metrics, random, otherNodes, backendOf } = options
  const known = new Map<string, KnownLimit>()
  const reportedInvalid = new Set<string>()
  const demand = createDemandMeter(clock)
  const refusals = createDemandMeter(clock)
  const coldServers = options.cold === undefined ? undefined : createColdServers({ ...options, cold: options.cold })
  const shares = createLimitShares({ ...options, ownDemand: demand.perSecond })

  function serviceOf ({ id }: Pick<LimitedBackend, 'id'>): string | undefined {
    return backendOf(id)?.service
  }

  function toDivided ({ backend, evidence }: KnownLimit): DividedLimit {
    return { key: keyOf(backend), service: serviceOf(backend) ?? '', perSecond: evidence.named.perSecond }
  }

  function refreshShare (limit: KnownLimit): void {
    const nowMs = clock.monotonicMs()
    if (nowMs < limit.shareUntilMs) return
    limit.share = shares.own(toDivided(limit))
    limit.shareUntilMs = nowMs + allocationTtlMs
    const perSecond = (limit.share?.ratio ?? 0) * effectiveLimit(limit.evidence.named.perSecond)
    limit.bucket.setRate({ perSecond, burst: limit.share?.burst ?? 1 }, nowMs)
  }

  /** The limit in force of a backend server, with this node's present share. */
  function limitOf (backend: LimitedBackend): KnownLimit | undefined {
    if (known.size === 0) return undefined
    const limit = known.get(keyOf(backend))
    if (limit?.sinceMs === undefined) return undefined
    refreshShare(limit)
    return limit
  }

  function create (backend: KnownLimit['backend'], evidence: LimitEvidence): KnownLimit {
    const limit = createKnownLimit(backend, evidence)
    known.set(keyOf(backend), limit)
    return limit
  }

  function addEvidence (backend: KnownLimit['backend'], response: LimitResponse, source: 'response' | 'other-node'): void {
    const before = known.get(keyOf(backend))
    const evidence = addResponse(before?.evidence, response, source === 'response' ? 0 : reportDelayMs)
    if (evidence === undefined || evidence === before?.evidence) return
    const limit = before ?? create(backend, evidence)
    const beforePerSecond = limit.sinceMs === undefined ? undefined : limit.evidence.named.perSecond
    limit.evidence = evidence
    const perSecond = isInForce(evidence) ? evidence.named.perSecond : undefined
    if (perSecond === beforePerSecond) return
    const nowMs = clock.monotonicMs()
    const fields = { backend: backend.id, service: serviceOf(backend), source, sent: limit.sentCount, skipped: limit.skippedCount }
    limit.changedAtMs = nowMs
    limit.shareUntilMs = -Infinity
    shares.invalidate(keyOf(backend))
    if (perSecond === undefined) {
      log('backendLimitEnded', { ...fields, beforePerSecond, forMs: Math.round(nowMs - (limit.sinceMs ?? nowMs)) })
      limit.sinceMs = undefined
      limit.endedAtMs = nowMs
      return
    }
    log('backendLimitNamed', { ...fields, perSecond, beforePerSecond })
    metrics.count('backend_limits_named_total', { service: fields.service ?? '', source })
    if (limit.sinceMs !== undefined) return
    // The permits of an earlier limit don't count, and neither do its requests.
    Object.assign(limit, { sinceMs: nowMs, bucket: createPermitBucket(random()), sentCount: 0, skippedCount: 0 })
    refreshShare(limit)
  }

  function recordResponse (backend: LimitedBackend, named: NamedLimit, sentAtMs: number): void {
    const { id, service } = backend
    if (named.kind === 'invalid') {
      if (reportedInvalid.has(keyOf(backend))) return
      if (reportedInvalid.size >= maxUnregistered) reportedInvalid.clear()
      reportedInvalid.add(keyOf(backend))
      return log('backendLimitInvalid', { backend: id, service, text: named.text })
    }
    const perSecond = named.kind === 'none' ? undefined : named.perSecond
    addEvidence(backend, { perSecond, sentAtMs, readAtMs: clock.monotonicMs() }, 'response')
  }

  function mergeLimits (limits: readonly ReportedLimit[]): void {
    const nowMs = clock.monotonicMs()
    for (const { backend, startedAtMs, perSecond, sentAgeMs, readAgeMs } of limits.slice(0, maxReportedLimits)) {
      const isValid = sentAgeMs >= readAgeMs && readAgeMs >= 0 && (perSecond === undefined || (perSecond >= 0 && Number.isFinite(perSecond)))
      if (!isValid) continue
      // The report was under way for an unknown time, so the request may have been sent earlier than its age says.
      addEvidence({ id: backend, startedAtMs }, { perSecond, sentAtMs: nowMs - sentAgeMs - reportDelayMs, readAtMs: nowMs - readAgeMs }, 'other-node')
    }
  }

  function isRegistered ({ id, startedAtMs }: KnownLimit['backend']): boolean {
    const registered = backendOf(id)
    return registered !== undefined && registered.startedAtMs === startedAtMs
  }

  /** Deletes what is known of backend servers that aren't registered; their entries may only have expired, or arrive soon. */
  function deleteUnregistered (): void {
    const nowMs = clock.monotonicMs()
    for (const limit of known.values()) limit.unregisteredSinceMs = isRegistered(limit.backend) ? undefined : limit.unregisteredSinceMs ?? nowMs
    const unregistered = [...known].filter(([, { unregisteredSinceMs }]) => unregisteredSinceMs !== undefined)
    for (const [index, [key, { unregisteredSinceMs = nowMs }]] of unregistered.entries()) {
      if (unregisteredSinceMs < nowMs - maxUnregisteredMs || index < unregistered.length - maxUnregistered) forget(key)
    }
  }

  function forget (key: string): void {
    known.delete(key)
    reportedInvalid.delete(key)
    shares.remove(key)
  }

  /** The buckets of all limits of a backend server. */
  function bucketsOf (backend: LimitedBackend): PermitBucket[] {
    return [limitOf(backend)?.bucket, coldServers?.find(backend)?.bucket].filter(bucket => bucket !== undefined)
  }

  function hasPermit (backend: LimitedBackend, claim: PermitClaim): boolean {
    const limit = limitOf(backend)
    const period = coldServers?.find(backend)
    // Asked for each backend server at each choice.
    if (limit === undefined && period === undefined) return true
    const nowMs = clock.monotonicMs()
    return [limit, period].every(item => item === undefined || item.bucket.waitMs(classOf(claim), nowMs) === 0)
  }

  function recordSkipped (backend: LimitedBackend): void {
    const period = coldServers?.find(backend)
    if (period !== undefined) {
      period.skippedCount += 1
      metrics.count('cold_backend_skips_total', { service: backend.service })
    }
    const limit = limitOf(backend)
    if (limit === undefined) return
    const nowMs = clock.monotonicMs()
    limit.skippedCount += 1
    metrics.count('limited_backend_skips_total', { service: backend.service })
    if (nowMs < limit.skipLoggedAtMs + skipLogIntervalMs) return
    limit.skipLoggedAtMs = nowMs
    log('backendLimitSkipped', { backend: backend.id, service: backend.service, skipped: limit.skippedCount, sent: limit.sentCount, ...stateOf(backend) })
  }

  function take (backend: LimitedBackend, claim: PermitClaim): Permit | undefined {
    const limit = limitOf(backend)
    const period = coldServers?.find(backend)
    if (limit === undefined && period === undefined) return noPermitNeeded
    if (!hasPermit(backend, claim)) return undefined
    const counted = [limit, period].filter(item => item !== undefined).map(item => ({ item, bucket: item.bucket }))
    for (const { item, bucket } of counted) {
      bucket.take()
      item.sentCount += 1
    }
    if (limit !== undefined) metrics.count('limited_backend_requests_total', { service: backend.service })
    if (period !== undefined) metrics.count('cold_backend_requests_total', { service: backend.service })
    return {
      giveBack: () => {
        for (const { item, bucket } of counted) {
          bucket.giveBack()
          item.sentCount -= 1
        }
      }
    }
  }

  function stateOf (backend: LimitedBackend): LimitState | undefined {
    const limit = limitOf(backend)
    if (limit === undefined) return undefined
    const { perSecond } = limit.evidence.named
    return {
      perSecond,
      forMs: Math.round(clock.monotonicMs() - (limit.sinceMs ?? 0)),
      ownPerSecond: (limit.share?.ratio ?? 0) * effectiveLimit(perSecond),
      nextPermitInMs: limit.bucket.waitMs(0, clock.monotonicMs())
    }
  }

  /** The lower one of a backend server's limits; 0 without one. */
  function bindingLimit (backend: LimitedBackend): number {
    const named = limitOf(backend)?.evidence.named.perSecond
    const limits = [named === undefined ? undefined : effectiveLimit(named), coldServers?.find(backend)?.perSecond].filter(limit => limit !== undefined)
    return limits.length === 0 ? 0 : Math.min(...limits)
  }

  /**
   * With more callers than permits, those that were refused lately would use up the permits of a
   * longer time, so they are spread over it; the nodes are assumed to refuse alike.
   */
  function onRefused (service: string, backends: readonly LimitedBackend[], claim: PermitClaim): number {
    const nowMs = clock.monotonicMs()
    refusals.record(service)
    for (const bucket of backends.flatMap(bucketsOf)) bucket.reserve(classOf(claim), nowMs)
    const totalPerSecond = backends.reduce((sum, backend) => sum + bindingLimit(backend), 0)
    if (totalPerSecond === 0) return 0
    const refusedPerSecond = refusals.perSecond(service) * (otherNodes().length + 1)
    const spreadMs = Math.min(maxRetryMs, refusedPerSecond / totalPerSecond * secondMs)
    // Other nodes may have a permit when this one has none.
    const soonestMs = Math.min(maxRetryMs, secondMs / totalPerSecond)
    return soonestMs + random() * spreadMs
  }

  function report (): LimitReport {
    deleteUnregistered()
    coldServers?.update()
    // Also without a limit: it must be known from the first one on who else is asked for its service.
    return { limits: selectLimits(known.values(), clock.monotonicMs()), demands: demand.highest(), shares: undefined }
  }

  function digestFor (receiver: NodeId, isNewReceiver: boolean): LimitReport {
    const reported: ReportedShare[] = []
    for (const limit of known.values()) {
      if (limit.sinceMs === undefined) continue
      const share = shares.divide(toDivided(limit)).get(receiver)
      if (share !== undefined) reported.push({ backend: limit.backend.id, startedAtMs: limit.backend.startedAtMs, ...share })
    }
    return { limits: selectLimits(known.values(), clock.monotonicMs(), isNewReceiver), demands: new Map(), shares: reported.slice(0, maxReportedLimits) }
  }

  return {
    recordRegistration: (backend, source) => coldServers?.recordRegistration(backend, source),
    removeRegistration: id => coldServers?.remove(id),
    recordResponse,
    recordDemand: demand.record,
    demandPerSecond: demand.perSecond,
    hasPermit,
    recordSkipped,
    take,
    isLimited: backend => limitOf(backend) !== undefined || coldServers?.find(backend) !== undefined,
    stateOf,
    endedAtMs: backend => known.size === 0 ? -Infinity : known.get(keyOf(backend))?.endedAtMs ?? -Infinity,
    onRefused,
    report,
    digestFor,
    mergeLimits,
    setShares: granted => shares.setGranted(granted === undefined ? undefined : new Map(granted.map(share => [keyOf({ id: share.backend, startedAtMs: share.startedAtMs }), share]))),
    list: () => [...known.values()].flatMap(({ backend, sinceMs, sentCount, skippedCount }) => {
      const state = sinceMs === undefined ? undefined : stateOf({ ...backend, service: serviceOf(backend) ?? '' })
      return state === undefined ? [] : [{ backend: backend.id, ...state, sent: sentCount, skipped: skippedCount }]
    })
  }
}
