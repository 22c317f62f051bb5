/**
 * Learns, with the other nodes, how long each backend server takes up to the first
 * token in relation to its service, and the prefill rate of the service. One node
 * sends a request to a given server only every ten seconds or so, which is too rarely
 * to learn alone. Only services whose engines have few slots are measured: there, one
 * request is a noticeable part of a server's capacity.
 */
import { boundSample, fitService, ratioOf } from './fit.ts'
import { createRotation, createSpeedStore, readReport, readServerKey, serverKey } from './speed-store.ts'
import type { BackendId, NodeId } from '../ids/index.ts'
import type { EngineProfile } from '../routing/engine-profile.ts'
import type { ServiceFit } from './fit.ts'
import type { BackendSpeeds, BackendSpeedsOptions, PaceSample, SpeedReport, SpeedSample } from './types.ts'

export type * from './types.ts'
export { createSpeedTotals } from './totals.ts'
export type { SpeedTotals } from './totals.ts'
export { decodeSpeeds, encodeSpeeds } from './wire.ts'
export type { WireSpeeds } from './wire.ts'

/** Number of slots up to which engines are measured. */
const maxMeasuredSlots = 16
const tokensPerKilotoken = 1_000
/** Source of this node's own samples; no node has an empty name. */
const own = ''
/** Time for which the fit of a service is used again; half a report interval. */
const fitCacheMs = 100
/** Interval at which the metrics are set and deviations are logged. */
const observeIntervalMs = 5_000
/** Ratio above which a server is logged as slow, and the one below which it no longer is. */
const slowRatio = 1.5
const recoveredRatio = 1.35
/** Maximum number of log lines in one interval. */
const maxLoggedServers = 10

/** Whether the speeds of a service's backend servers are learned. */
export function isMeasured ({ slots, respondsAtEnd }: EngineProfile): boolean {
  return slots <= maxMeasuredSlots && respondsAtEnd !== true
}

/** Creates the speeds of one node, without any samples. */
export function createBackendSpeeds (options: BackendSpeedsOptions): BackendSpeeds {
  const { clock, log, metrics, backendOf } = options
  const store = createSpeedStore(clock)
  const rotate = createRotation()
  /** Profiles that the services of measured servers state. */
  const statedProfiles = new Map<string, EngineProfile>()
  const fits = new Map<string, { fit: ServiceFit | undefined, untilMs: number }>()
  const slowServers = new Set<string>()
  let observedAtMs = clock.monotonicMs()
  let mergedAtMs: number | undefined

  function record ({ backend, stated, tokens, measuredMs, linkMs }: SpeedSample): void {
    const known = backendOf(backend)
    if (known?.startedAtMs === undefined || !isMeasured(stated)) return
    const { service, startedAtMs } = known
    statedProfiles.set(service, stated)
    const fit = fitOf(service, stated)
    const setUpMs = fit?.setUpMs ?? 0
    const expectedMs = setUpMs + tokens * (fit?.prefillMsPerToken ?? stated.prefillMsPerToken)
    const kilotokens = tokens / tokensPerKilotoken
    if (linkMs !== undefined) {
      store.services.add(own, service, [0, 0, 0, 0, 0, 1, kilotokens, Math.max(0, boundSample(measuredMs, expectedMs + linkMs) - linkMs), 0, 0, 0])
      return
    }
    const ms = fit === undefined ? measuredMs : boundSample(measuredMs, expectedMs)
    store.services.add(own, service, [1, kilotokens, ms, kilotokens ** 2, kilotokens * ms, 0, 0, 0, 0, 0, 0])
    store.servers.add(own, serverKey(backend, startedAtMs), [1, tokens, ms, 0, 0])
  }

  function recordPace ({ backend, stated, gaps, sumMs }: PaceSample): void {
    const known = backendOf(backend)
    if (known?.startedAtMs === undefined || !isMeasured(stated) || gaps === 0) return
    const [, , , , , , , , gapCount, gapMs] = store.services.total(known.service) ?? []
    const ms = gapCount === undefined || gapMs === undefined || gapCount === 0 ? sumMs : boundSample(sumMs, gaps * gapMs / gapCount)
    store.services.add(own, known.service, [0, 0, 0, 0, 0, 0, 0, 0, gaps, ms, 1])
    store.servers.add(own, serverKey(backend, known.startedAtMs), [0, 0, 0, gaps, ms])
  }

  /** The same for all servers of a service, so it is not computed for each candidate of each request. */
  function fitOf (service: string, stated: EngineProfile): ServiceFit | undefined {
    const cached = fits.get(service)
    if (cached !== undefined && clock.monotonicMs() < cached.untilMs) return cached.fit
    const fit = fitService(store.services.total(service), stated)
    fits.set(service, { fit, untilMs: clock.monotonicMs() + fitCacheMs })
    return fit
  }

  function profileOf (backend: BackendId, stated: EngineProfile): EngineProfile | undefined {
    if (!isMeasured(stated)) return undefined
    const known = backendOf(backend)
    if (known?.startedAtMs === undefined) return undefined
    statedProfiles.set(known.service, stated)
    const fit = fitOf(known.service, stated)
    if (fit === undefined) return undefined
    const ratio = ratioOf(store.servers.total(serverKey(backend, known.startedAtMs)), fit)
    return {
      ...stated,
      setUpMs: fit.setUpMs * ratio,
      prefillMsPerToken: fit.prefillMsPerToken * ratio,
      slotMs: fit.slotMs * ratio,
      ...(stated.fetch === undefined ? {} : { fetch: { ...stated.fetch, setUpMs: fit.fetchSetUpMs ?? stated.fetch.setUpMs } })
    }
  }

  function isCurrent (key: string): boolean {
    const { backend, startedAtMs } = readServerKey(key)
    return backendOf(backend)?.startedAtMs === startedAtMs
  }

  function report (): SpeedReport {
    if (clock.monotonicMs() >= observedAtMs + observeIntervalMs) observe()
    const keys = rotate(store.servers.keys(own), false).filter(isCurrent)
    return readReport(keys, store.services.keys(own), { server: key => store.servers.read(own, key), service: name => store.services.read(own, name) })
  }

  function observe (): void {
    observedAtMs = clock.monotonicMs()
    const current = store.servers.keys().filter(isCurrent)
    for (const key of slowServers) if (!current.includes(key)) slowServers.delete(key)
    for (const [service, stated] of statedProfiles) observeService(service, stated, current)
    if (mergedAtMs !== undefined) metrics.setGauge('backend_speeds_age_ms', observedAtMs - mergedAtMs)
  }

  function observeService (service: string, stated: EngineProfile, keys: readonly string[]): void {
    const fit = fitOf(service, stated)
    if (fit === undefined) return
    const ratios = keys.flatMap(key => {
      const { backend } = readServerKey(key)
      return backendOf(backend)?.service === service ? [{ key, backend, ratio: ratioOf(store.servers.total(key), fit) }] : []
    })
    if (ratios.length === 0) return
    metrics.setGauge('backend_speed_servers', ratios.length, { service })
    metrics.setGauge('backend_speed_ratio_lowest', Math.min(...ratios.map(({ ratio }) => ratio)), { service })
    metrics.setGauge('backend_speed_ratio_highest', Math.max(...ratios.map(({ ratio }) => ratio)), { service })
    metrics.setGauge('backend_speed_prefill_tokens_per_ms', 1 / fit.prefillMsPerToken, { service })
    const changed = ratios.filter(({ key, ratio }) => slowServers.has(key) ? ratio < recoveredRatio : ratio > slowRatio)
    for (const { key, backend, ratio } of changed.slice(0, maxLoggedServers)) {
      const isSlow = !slowServers.delete(key)
      if (isSlow) slowServers.add(key)
      if (options.isLogging()) log('backendSpeedChanged', { backend, service, isSlow, ratio: Number(ratio.toFixed(2)), tokensPerMs: Number((1 / fit.prefillMsPerToken).toFixed(1)), servers: ratios.length })
    }
  }

  function merge (source: NodeId, reported: SpeedReport): void {
    mergedAtMs = clock.monotonicMs()
    store.merge(source, reported)
  }

  return { record, recordPace, profileOf, report, merge, removeSource: store.removeSource }
}
