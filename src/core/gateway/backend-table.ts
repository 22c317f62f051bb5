/**
 * The backend servers that this node may send to, as they registered
 * themselves, with the connections to each and its observed health.
 */
import { anyDomain } from './allowed-domains.ts'
import { createBackendConnections } from './backend-connections.ts'
import { createDepartedBackends } from './departed-backends.ts'
import { isEarlierStart, isSameRegistration } from './backend-starts.ts'
import { ineligibleReason, isHeldBack, isLastResort } from './eligibility.ts'
import { createPeerSuspects, isSuspectedByPeers } from './peer-suspects.ts'
import { createServiceAvailability, isLeaving } from './service-availability.ts'
import { toId } from '../ids/index.ts'
import { createRegistrationProofs } from '../registrations/index.ts'
import type { Backend } from '../backends/types.ts'
import type { BackendId, InstanceId, TeamId, VersionId } from '../ids/index.ts'
import type { BackendConnections } from './backend-connections.ts'
import type { IneligibleReason } from './eligibility.ts'
import type { PermitClaim } from '../backend-limits/index.ts'
import type { VersionRole } from '../moves/types.ts'
import type { SuspectCounts } from '../node-reports/types.ts'
import type { VersionPresence } from '../registrations/index.ts'
import type { BackendEntry } from './types.ts'
import type { BackendTable, BackendTableOptions, KnownBackend } from './backend-table-types.ts'

export type * from './backend-table-types.ts'

/** Version label of all backend servers that don't run the canary version. */
export const servingLabel = toId<VersionId>('serving')
/** Version label of the backend servers that run the canary version of a move. */
export const canaryLabel = toId<VersionId>('trial')

const noEvacuations: NonNullable<BackendTableOptions['evacuations']> = { isEvacuated: () => false, endedAtMs: () => -Infinity }
const defaultClaim: PermitClaim = { rank: 0, isRetry: false }
/** Longest time for which an unreachable backend server gets no requests. */
const maxSuspectMs = 4_000
/** That time after the first failure; doubles with each consecutive failure. */
const minSuspectMs = 250
/** Time after a failure for which this node reports its suspicion, unless it hears from the backend server; a suspicion itself may end before the next report. */
const reportSuspicionMs = 5_000
/** Share of the choices for which a backend server that only others suspect stays usable, so that its recovery is found. */
const retrySuspectRatio = 1 / 16
/** Time after the last sign of life for which this node trusts its own connection more than the suspicions of others. */
const ownActivityMs = 1_000

/** Creates an empty table. */
export function createBackendTable (options: BackendTableOptions): BackendTable {
  const { clock, log, metrics, limits, evacuations = noEvacuations } = options
  const known = new Map<BackendId, KnownBackend>()
  const departed = createDepartedBackends()
  const proofs = createRegistrationProofs({ clock, times: options.registrationTimes, revisionOf: options.registrationRevision })
  const availability = createServiceAvailability({ ...options, evacuations, known: () => known.values() })
  const peerSuspects = createPeerSuspects({ clock, log, serviceOf: id => known.get(id)?.entry.service })

  function toBackend (entry: BackendEntry): Backend {
    return {
      id: entry.id,
      instance: toId<InstanceId>(entry.id),
      team: toId<TeamId>(entry.service),
      kind: 'model-engine',
      version: servingLabel,
      domain: entry.domain,
      machineClass: entry.service,
      reclaimable: entry.isReclaimable,
      url: `http://${entry.address.host}:${entry.address.port}`,
      state: entry.isLeaving ? 'leaving' : 'live'
    }
  }

  /** The entry with what is known beyond it: one that left before the key-value service was restored is still leaving. */
  function withKnownState (entry: BackendEntry, isByRestore: boolean): BackendEntry {
    const hasLeft = isByRestore && departed.find(entry)?.wasLeaving === true
    return hasLeft ? { ...entry, isLeaving: true } : entry
  }

  function connect ({ address, service }: BackendEntry): BackendConnections {
    return createBackendConnections({
      ...address,
      onOpened: () => metrics.count('backend_connections_total', { service })
    })
  }

  function put (registered: BackendEntry, isByRestore = false): void {
    const before = known.get(registered.id)
    // The later start registers again, or the entry of the earlier one expires.
    if (before !== undefined && isByRestore && isEarlierStart(before.entry, registered)) return
    if (before !== undefined && isSameRegistration(before.entry, registered)) {
      const entry = isByRestore && before.entry.isLeaving ? { ...registered, isLeaving: true } : registered
      limits.recordRegistration(entry, { hasAppeared: false, isByRestore })
      if (before.entry.isLeaving !== entry.isLeaving) log('backendChanged', { backend: entry.id, service: entry.service, leaving: entry.isLeaving, leavesInMs: entry.leavesInMs })
      before.entry = entry
      before.backend = before.leavingSinceMs === undefined ? toBackend(entry) : { ...toBackend(entry), state: 'leaving' }
      return
    }
    const entry = withKnownState(registered, isByRestore)
    // What the same start of it said still holds when its entry had only expired.
    const departure = departed.find(entry)
    const hasReappeared = isByRestore && departure !== undefined
    if (before !== undefined) remove(entry.id, 'replaced by a new registration')
    limits.recordRegistration(entry, { hasAppeared: options.hasJustStarted?.() !== true, isByRestore })
    log('backendChanged', { backend: entry.id, service: entry.service, domain: entry.domain, version: entry.version, leaving: entry.isLeaving })
    known.set(entry.id, {
      entry,
      backend: departure?.leavingSinceMs === undefined ? toBackend(entry) : { ...toBackend(entry), state: 'leaving' },
      connections: connect(entry),
      suspectUntilMs: -Infinity,
      consecutiveFailures: 0,
      lastFailureAtMs: -Infinity,
      lastActivityAtMs: clock.monotonicMs(),
      isMisdirected: false,
      leavingSinceMs: departure?.leavingSinceMs,
      isLeavingHeard: departure?.isLeavingHeard ?? false,
      pausedUntilMs: departure?.pausedUntilMs ?? -Infinity,
      // Within that time it expires, unless its backend server renews it.
      unconfirmedUntilMs: hasReappeared ? clock.monotonicMs() + options.registrationTimes.expiryMs : -Infinity
    })
  }

  function remove (id: BackendId, cause: string): void {
    const gone = known.get(id)
    if (gone === undefined) return
    known.delete(id)
    proofs.remove(id)
    departed.add(gone.entry, { ...gone, wasLeaving: isLeaving(gone) })
    limits.removeRegistration(id)
    gone.connections.close()
    options.onRemoved(id)
    log('backendRemoved', { backend: id, service: gone.entry.service, cause })
  }

  function usable (service: string, claim = defaultClaim, onLimited: (backend: BackendId) => void = () => {}, mayUse = anyDomain): Backend[] {
    const nowMs = clock.monotonicMs()
    const peerCounts = peerSuspects.counts()
    const retriesSuspects = peerCounts.size > 0 && options.random() < retrySuspectRatio
    const roleOf = options.versionRolesOf(service)
    const eligible: Backend[] = []
    const lastResorts: Array<{ backend: Backend, role: VersionRole }> = []
    let hasHeldBack = false
    for (const candidate of known.values()) {
      const { entry, backend } = candidate
      if (entry.service !== service || !mayUse(entry.domain)) continue
      const role = roleOf(entry.version)
      const reason = reasonOf(candidate, role, nowMs, peerCounts, retriesSuspects, claim)
      if (reason === 'limited') {
        limits.recordSkipped(entry)
        onLimited(entry.id)
      }
      if (reason !== undefined && isHeldBack(reason) && role !== 'replaced') hasHeldBack = true
      if (reason !== undefined && !isLastResort(reason)) continue
      const labelled = role === 'evaluated' ? { ...backend, version: canaryLabel } : backend
      if (reason === undefined) eligible.push(labelled)
      else lastResorts.push({ backend: labelled, role })
    }
    if (eligible.length > 0) return eligible
    // A replaced backend server may stop under a request, so it doesn't stand in for one that takes requests again soon.
    return lastResorts.filter(({ role }) => !hasHeldBack || role !== 'replaced').map(({ backend }) => backend)
  }

  function reasonOf (candidate: KnownBackend, role: VersionRole, nowMs: number, peerCounts: ReadonlyMap<BackendId, SuspectCounts>, retriesSuspects: boolean, claim = defaultClaim): IneligibleReason | undefined {
    const { entry, consecutiveFailures, lastActivityAtMs, isMisdirected, unconfirmedUntilMs, pausedUntilMs, suspectUntilMs } = candidate
    const limitEndedAtMs = limits.endedAtMs(entry)
    const evacuationEndedAtMs = evacuations.endedAtMs(entry.domain)
    // Named one by one, as this runs for every backend server at every choice, and a copy of all fields costs several times as much.
    return ineligibleReason({
      isMisdirected,
      unconfirmedUntilMs,
      pausedUntilMs,
      suspectUntilMs,
      isLeaving: isLeaving(candidate),
      hasPermit: limits.hasPermit(entry, claim),
      limitEndedAtMs,
      isEvacuated: evacuations.isEvacuated(entry.domain),
      evacuationEndedAtMs,
      isReplaced: role === 'replaced',
      // A node that found out by itself goes on to try; the others wait until it succeeds.
      isAvoided: isSuspectedByPeers(peerCounts.get(entry.id)) && consecutiveFailures === 0 && lastActivityAtMs < nowMs - ownActivityMs && !retriesSuspects
    }, nowMs, Math.max(pausedUntilMs, limitEndedAtMs, evacuationEndedAtMs) === -Infinity ? 0 : options.random())
  }

  function setLeaving (candidate: KnownBackend, source: 'response' | 'other-node'): void {
    if (source === 'response') candidate.isLeavingHeard = true
    if (candidate.leavingSinceMs !== undefined) return
    candidate.leavingSinceMs = clock.monotonicMs()
    candidate.backend = { ...candidate.backend, state: 'leaving' }
    metrics.count('backends_leaving_total', { service: candidate.entry.service, source })
    log('backendLeaving', { backend: candidate.entry.id, service: candidate.entry.service, source })
  }

  function pause (id: BackendId, forMs: number): void {
    const paused = known.get(id)
    if (paused === undefined) return
    const { service } = paused.entry
    const boundedMs = Math.min(forMs, options.maxPauseMs)
    const untilMs = clock.monotonicMs() + boundedMs
    if (untilMs <= paused.pausedUntilMs) return
    paused.pausedUntilMs = untilMs
    metrics.count('backend_pauses_total', { service })
    log('backendPaused', { backend: id, service, forMs: boundedMs, ...(boundedMs < forMs ? { askedMs: forMs } : {}) })
  }

  function ineligibleCounts (): Map<string, Map<IneligibleReason, number>> {
    const nowMs = clock.monotonicMs()
    const peerCounts = peerSuspects.counts()
    const counts = new Map<string, Map<IneligibleReason, number>>()
    for (const candidate of known.values()) {
      const { service, version } = candidate.entry
      const reason = reasonOf(candidate, options.versionRolesOf(service)(version), nowMs, peerCounts, false)
      const byReason = counts.get(service) ?? new Map<IneligibleReason, number>()
      counts.set(service, byReason)
      if (reason !== undefined) byReason.set(reason, (byReason.get(reason) ?? 0) + 1)
    }
    return counts
  }

  function markSuspect (id: BackendId, cause: string): void {
    const backend = known.get(id)
    if (backend === undefined) return
    const nowMs = clock.monotonicMs()
    if (backend.suspectUntilMs > nowMs) return
    backend.consecutiveFailures += 1
    backend.lastFailureAtMs = nowMs
    const forMs = Math.min(maxSuspectMs, minSuspectMs * 2 ** (backend.consecutiveFailures - 1))
    backend.suspectUntilMs = nowMs + forMs
    log('backendSuspected', { backend: id, service: backend.entry.service, cause, forMs, silentMs: Math.round(nowMs - backend.lastActivityAtMs) })
  }

  function recordActivity (id: BackendId): void {
    const backend = known.get(id)
    if (backend === undefined) return
    proofs.recordAnswer(id)
    backend.lastActivityAtMs = clock.monotonicMs()
    backend.suspectUntilMs = -Infinity
    backend.consecutiveFailures = 0
  }

  function otherVersionPresence (service: string, version: VersionId): VersionPresence {
    let presence: VersionPresence = 'absent'
    for (const candidate of known.values()) {
      const { entry, isMisdirected, consecutiveFailures } = candidate
      if (entry.service !== service || entry.version === version || isMisdirected || isLeaving(candidate)) continue
      if (proofs.isProven(entry.id)) return 'running'
      // One that runs would renew its registration, even if this node can't reach it.
      if (consecutiveFailures === 0 || !options.seesRenewals()) presence = 'registered'
    }
    return presence
  }

  return {
    put,
    remove,
    usable,
    live: (service, mayUse) => {
      const nowMs = clock.monotonicMs()
      return availability.liveOf(service, mayUse).filter(({ suspectUntilMs, pausedUntilMs }) => suspectUntilMs <= nowMs && pausedUntilMs <= nowMs).map(({ entry }) => entry)
    },
    entries: service => [...known.values()].filter(({ entry }) => entry.service === service).map(({ entry, leavingSinceMs }) => leavingSinceMs === undefined ? entry : { ...entry, isLeaving: true }),
    otherVersionPresence,
    resetProofs: proofs.reset,
    areRegistrationsSettled: proofs.isSettled,
    get: id => known.get(id),
    list: () => [...known.values()],
    markSuspect,
    suspects: () => {
      const nowMs = clock.monotonicMs()
      const peerCounts = peerSuspects.counts()
      return new Map([...known.values()].flatMap(({ entry: { id }, consecutiveFailures, lastFailureAtMs, lastActivityAtMs }): Array<[BackendId, SuspectCounts]> => {
        if (consecutiveFailures > 0) return lastFailureAtMs >= nowMs - reportSuspicionMs ? [[id, { suspecting: 1, hearing: 0 }]] : []
        return peerCounts.has(id) && lastActivityAtMs >= nowMs - ownActivityMs ? [[id, { suspecting: 0, hearing: 1 }]] : []
      }))
    },
    setPeerSuspects: peerSuspects.set,
    recordActivity,
    markMisdirected: id => {
      const backend = known.get(id)
      if (backend === undefined || backend.isMisdirected) return
      backend.isMisdirected = true
      log('backendSuspected', { backend: id, service: backend.entry.service, cause: 'another backend server uses its address' })
    },
    markLeaving: id => {
      const leaving = known.get(id)
      if (leaving !== undefined) setLeaving(leaving, 'response')
    },
    heardLeaving: () => [...known.values()].flatMap(({ entry, isLeavingHeard }) => isLeavingHeard ? [{ backend: entry.id, startedAtMs: entry.startedAtMs }] : []),
    setPeerLeaving: departures => {
      for (const { backend, startedAtMs } of departures) {
        const leaving = known.get(backend)
        if (leaving !== undefined && leaving.entry.startedAtMs === startedAtMs) setLeaving(leaving, 'other-node')
      }
    },
    pause,
    allPausedForMs: availability.allPausedForMs,
    unavailability: availability.unavailability,
    allLimitedForMs: availability.allLimitedForMs,
    isReplaced: (service, version) => options.versionRolesOf(service)(version) === 'replaced',
    ineligibleCounts,
    close: () => {
      for (const { connections } of known.values()) connections.close()
    }
  }
}
