/**
 * Connects the gateway with the quarantine: asks it before each attempt, and tells it
 * which attempts were answered and which had no answer when their backend server crashed.
 */
import { createCrashProbe } from '../connections/crash-probe.ts'
import { toId } from '../ids/index.ts'
import type { AttemptId } from '../ids/index.ts'
import type { Admittance } from '../quarantine/index.ts'
import type { ActiveRequest, RequestHandlerOptions } from './active-request.ts'
import type { AttemptEnd } from './attempt.ts'
import type { GatewayResponse } from './gateway-response.ts'

/** The quarantine as the request handler uses it. */
export interface PromptGate {
  /** The response to a request that is refused before anything else is done for it. */
  refusalOnArrival: (active: ActiveRequest) => GatewayResponse | undefined
  /** Decides before an attempt. */
  admit: (active: ActiveRequest) => Promise<Admittance>
  onFirstEvent: (active: ActiveRequest) => void
  /** Records a complete answer, or finds out whether the backend server crashed; then also whether the prompt may be sent again. */
  onAttemptEnded: (active: ActiveRequest, end: AttemptEnd) => Promise<void>
}

/** Creates the gate of a request handler. */
export function createPromptGate ({ clock, backends, quarantine }: RequestHandlerOptions): PromptGate {
  const probe = createCrashProbe()
  /** Requests whose prompt was sent and that may have an open attempt. */
  const open = new Set<ActiveRequest>()

  quarantine.onQuarantined(() => {
    for (const { service, head, attempt } of open) {
      const record = quarantine.find(service, head.sharedParts)
      const isRefused = record !== undefined && clock.wallMs() < record.untilMs
      if (isRefused && attempt !== undefined && attempt.phase() !== 'answering') attempt.abort()
    }
  })

  async function admit (active: ActiveRequest): Promise<Admittance> {
    const { service, head, hasCrashedBackend, ended } = active
    const admittance = await quarantine.admit({ service, features: head.sharedParts, isRetryAfterCrash: hasCrashedBackend, signal: ended.signal })
    if (admittance.kind === 'refused' || head.sharedParts.length === 0) return admittance
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
  function isStopping ({ service, choice }: ActiveRequest): boolean {
    const known = choice === undefined ? undefined : backends.get(choice.backend.id)
    if (known === undefined) return false
    return known.entry.isLeaving || known.leavingSinceMs !== undefined || backends.isReplaced(service, known.entry.version)
  }

  async function hasCrashed (active: ActiveRequest, end: AttemptEnd): Promise<boolean> {
    const known = active.choice === undefined ? undefined : backends.get(active.choice.backend.id)
    const hasNoAnswer = end.kind === 'may-have-run' && !end.isUntrusted && active.endedInPhase !== 'answering'
    if (!hasNoAnswer || known === undefined || active.head.sharedParts.length === 0 || isStopping(active)) return false
    return await probe(known.entry.address) === 'refused'
  }

  return {
    refusalOnArrival: ({ service, head }) => {
      const record = quarantine.find(service, head.sharedParts)
      const nowMs = clock.wallMs()
      // From its deadline on, the record lets a trial through, which is decided before the attempt.
      if (record === undefined || nowMs >= record.untilMs) return undefined
      const detail = `Backend servers crashed on prompts with ${record.features.join(', ')}; change the prompt.`
      return { status: 503, reason: 'prompt-quarantined', detail, retryInMs: record.untilMs - nowMs }
    },
    admit,
    onFirstEvent: ({ service, head }) => quarantine.recordAnswer(service, head.sharedParts),
    onAttemptEnded: async (active, end) => {
      const { service, head, choice, route } = active
      if (end.kind === 'complete' && end.response.status < 500 && route.kind !== 'stream') quarantine.recordAnswer(service, head.sharedParts)
      const crashedAtMs = clock.wallMs()
      const known = choice === undefined ? undefined : backends.get(choice.backend.id)
      if (known === undefined || !await hasCrashed(active, end)) return
      active.hasCrashedBackend = true
      quarantine.recordCrash({
        attempt: toId<AttemptId>(`${active.id}/${active.sentCount}`),
        service,
        backend: known.entry.id,
        backendStartedAtMs: known.entry.startedAtMs,
        features: head.sharedParts,
        hasStarted: active.endedInPhase === 'started',
        crashedAtMs
      })
      const admittance = await quarantine.admit({ service, features: head.sharedParts, isRetryAfterCrash: true, signal: active.ended.signal })
      if (admittance.kind === 'refused') active.blockedBy = admittance
    }
  }
}
