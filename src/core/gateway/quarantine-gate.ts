/**
 * Connects the gateway with the quarantine: asks it before each attempt, and tells it
 * which attempts were answered and which had no complete answer when their backend
 * server crashed.
 */
import { createCrashProbe } from '../connections/crash-probe.ts'
import { toId } from '../ids/index.ts'
import { explainRefusal, isRequestDigest } from '../quarantine/index.ts'
import type { AttemptId, RequestFeature } from '../ids/index.ts'
import type { Admittance, QuarantineRecord, QuarantineRequest } from '../quarantine/index.ts'
import type { ActiveRequest, BlockedRequest, RequestHandlerOptions } from './active-request.ts'
import type { AttemptEnd } from './attempt.ts'
import type { KnownBackend } from './backend-table-types.ts'
import type { GatewayResponse } from './gateway-response.ts'

/** The quarantine as the request handler uses it. */
export interface QuarantineGate {
  /** The response to a request that is refused before anything else is done for it. */
  refusalOnArrival: (active: ActiveRequest) => GatewayResponse | undefined
  /** Decides before an attempt. */
  admit: (active: ActiveRequest) => Promise<Admittance>
  onFirstEvent: (active: ActiveRequest) => void
  /** Records a complete answer, or finds out whether the backend server crashed; then also whether the request may be sent again. */
  onAttemptEnded: (active: ActiveRequest, end: AttemptEnd) => Promise<void>
  /** Gives back what a request that has ended was admitted for. */
  onEnded: (active: ActiveRequest) => void
}

/** Larger bodies are only digested when something is known against requests of their service. */
const maxDigestedBytes = 64 * 1024
/** Time that a retry waits for the probe of its backend server; a refused connection takes one round trip. */
const maxProbeWaitMs = 30
/** Responses from this status on may have been given without running the request. */
const firstErrorStatus = 400

/** Creates the gate of a request handler. */
export function createQuarantineGate ({ clock, backends, quarantine }: RequestHandlerOptions): QuarantineGate {
  const probe = createCrashProbe()
  /** Requests that may have an open attempt. */
  const open = new Set<ActiveRequest>()

  quarantine.onQuarantined(() => {
    for (const active of open) {
      const { service, attempt } = active
      const record = quarantine.find(service, featuresOf(active))
      const isRefused = record !== undefined && clock.wallMs() < record.untilMs
      if (!isRefused || attempt === undefined || attempt.phase() === 'answering') continue
      // Decided here, because the quarantine may have ended when the attempt has.
      active.blockedBy = refusalOf(record)
      attempt.abort()
    }
  })

  function refusalOf ({ features, untilMs }: QuarantineRecord): BlockedRequest {
    const reason = features.some(isRequestDigest) ? 'request-quarantined' : 'prompt-quarantined'
    return { reason, detail: explainRefusal('quarantined', features), retryAtMs: untilMs }
  }

  function featuresOf (active: ActiveRequest): RequestFeature[] {
    const { service, head, body } = active
    const isUnneeded = (body?.length ?? 0) > maxDigestedBytes && quarantine.isQuiet(service)
    return isUnneeded ? head.sharedParts : [active.digest(), ...head.sharedParts]
  }

  function toQuarantineRequest (active: ActiveRequest): QuarantineRequest {
    const { service, hasCrashedBackend, mayUseDomain, ended } = active
    return {
      service,
      features: featuresOf(active),
      isRetryAfterCrash: hasCrashedBackend,
      liveBackends: () => backends.live(service, mayUseDomain),
      signal: ended.signal
    }
  }

  async function admit (active: ActiveRequest): Promise<Admittance> {
    const { retryAdmittance } = active
    active.retryAdmittance = undefined
    const admittance = retryAdmittance ?? await quarantine.admit(toQuarantineRequest(active))
    if (admittance.kind === 'refused') return admittance
    open.add(active)
    return {
      kind: 'admitted',
      release: () => {
        open.delete(active)
        admittance.release()
      }
    }
  }

  /** Whether the backend server is known to stop, so that the end of its connections is no sign of a crash. */
  function isStopping (service: string, known: KnownBackend): boolean {
    return known.entry.isLeaving || known.leavingSinceMs !== undefined || backends.isReplaced(service, known.entry.version)
  }

  /** The backend server of an attempt that may have ended by its crash. */
  function suspectedBackend ({ service, choice }: ActiveRequest, end: AttemptEnd): KnownBackend | undefined {
    const known = choice === undefined ? undefined : backends.get(choice.backend.id)
    const mayBeCrash = (end.kind === 'broken' || end.kind === 'may-have-run') && !end.isGivenUp
    return mayBeCrash && known !== undefined && !isStopping(service, known) ? known : undefined
  }

  async function detectCrash (active: ActiveRequest, { entry }: KnownBackend): Promise<void> {
    const { service, head, route, choice, endedInPhase } = active
    const crashedAtMs = clock.wallMs()
    const attempt = toId<AttemptId>(`${active.id}/${active.sentCount}`)
    if (await probe(entry.address) !== 'refused') return
    active.hasCrashedBackend = true
    quarantine.recordCrash({
      attempt,
      service,
      backend: entry.id,
      backendStartedAtMs: entry.startedAtMs,
      // Once an answer had begun, its parts are known to be sound; the request may still crash what completes it.
      features: endedInPhase === 'answering' ? [active.digest()] : [active.digest(), ...head.sharedParts],
      hasStarted: endedInPhase !== 'waiting' || route.kind !== 'stream',
      inProgress: (choice?.requestsAhead ?? 0) + 1,
      crashedAtMs,
      origin: { ...(active.team === undefined ? {} : { team: active.team.team }), route: route.name }
    })
  }

  function recordComplete (active: ActiveRequest, end: AttemptEnd): void {
    const isStream = active.route.kind === 'stream'
    const isSound = end.kind === 'passed-on' ? end.status < firstErrorStatus : end.kind === 'complete' && end.response.status < firstErrorStatus
    // The parts of a stream were recorded at its first event.
    if (isSound) quarantine.recordAnswer(active.service, isStream ? featuresOf(active).filter(isRequestDigest) : featuresOf(active))
  }

  /** Asks for a retry at once, so that a request that must not be sent again gets its response without a further delay. */
  async function admitRetry (active: ActiveRequest): Promise<void> {
    const { route, sentCount } = active
    const mayBeRetried = (route.kind === 'repeatable' || route.isResumable) && sentCount + 1 < route.maxBackends
    if (!mayBeRetried) return
    const admittance = await quarantine.admit(toQuarantineRequest(active))
    if (admittance.kind === 'refused') active.blockedBy = admittance
    else active.retryAdmittance = admittance
  }

  return {
    refusalOnArrival: active => {
      const record = quarantine.find(active.service, featuresOf(active))
      const nowMs = clock.wallMs()
      // From its deadline on, the record lets a trial through, which is decided before the attempt.
      if (record === undefined || nowMs >= record.untilMs) return undefined
      const { reason, detail, retryAtMs } = refusalOf(record)
      return { status: 503, reason, detail, retryInMs: retryAtMs - nowMs }
    },
    admit,
    onFirstEvent: ({ service, head }) => quarantine.recordAnswer(service, head.sharedParts),
    onAttemptEnded: async (active, end) => {
      recordComplete(active, end)
      const known = suspectedBackend(active, end)
      if (known === undefined) return
      const waited = new AbortController()
      await Promise.race([detectCrash(active, known), clock.sleep(maxProbeWaitMs, waited.signal)])
      waited.abort()
      if (active.hasCrashedBackend) await admitRetry(active)
    },
    onEnded: active => {
      if (active.retryAdmittance?.kind === 'admitted') active.retryAdmittance.release()
      active.retryAdmittance = undefined
    }
  }
}
