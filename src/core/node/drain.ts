/**
 * Graceful shutdown: the load balancer first stops sending requests to this node,
 * then open requests finish or are handed over to a peer, then the server closes.
 */
import type { Admission } from '../admission/index.ts'
import type { Calls } from '../calls/index.ts'
import type { Clock } from '../clock/index.ts'
import type { CallerServer } from '../http/index.ts'
import type { Log } from '../log/index.ts'
import type { NodeMembership } from '../membership/index.ts'
import type { Drafts } from '../requests/index.ts'
import type { ShutdownState } from './shutdown-state.ts'

/** Time before `endAtMs`, by which the node must be closed, at which the node hands open drafts over to peers instead of waiting for them. */
const handOverReserveMs = 5_000
/**
 * Time before `endAtMs` at which the node releases its shards although calls still
 * run. Such a call isn't cancelled: its caller gets the response if it arrives
 * before `endAtMs`, when the server aborts the open connections.
 */
const callsReserveMs = 1_000
const pollIntervalMs = 50
/** Maximum fraction of the remaining time that is spent waiting for the load balancer. */
const maxBalancerDelayRatio = 0.2

/** Options of `drainNode`. */
export interface DrainOptions {
  clock: Clock
  log: Log
  shutdown: ShutdownState
  admission: Admission
  drafts: Drafts
  calls: Calls
  membership: NodeMembership
  server: CallerServer
  /** Time for which the node still accepts requests after it stopped being ready. */
  balancerDelayMs: number
}

/** Drains the node by the wall time `endAtMs`; resolves once all connections are closed. */
export async function drainNode (options: DrainOptions, endAtMs: number): Promise<void> {
  const { clock, shutdown, drafts, log } = options
  log('nodeDraining', { endAtMs })
  shutdown.leaving = true
  options.membership.leave()
  drafts.stopAdopting()
  options.calls.leave()
  const leftMs = endAtMs - clock.wallMs()
  // The wall clock may jump while the node drains.
  const endsAtMs = clock.monotonicMs() + leftMs
  await clock.sleep(Math.min(options.balancerDelayMs, Math.max(0, leftMs) * maxBalancerDelayRatio))
  shutdown.draining = true
  options.admission.drain()
  await waitForDrafts(options, endsAtMs - handOverReserveMs)
  const notHandedOver = await drafts.handOverAll()
  if (notHandedOver > 0) log('draftsNotHandedOver', { drafts: notHandedOver })
  await options.calls.drain(clock.wallMs() + endsAtMs - callsReserveMs - clock.monotonicMs())
  await options.server.close(endsAtMs)
}

async function waitForDrafts ({ clock, drafts }: DrainOptions, untilMs: number): Promise<void> {
  while (drafts.openCount() > 0 && clock.monotonicMs() < untilMs) await clock.sleep(pollIntervalMs)
}
