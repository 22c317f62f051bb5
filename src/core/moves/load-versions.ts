/**
 * Loads and unloads versions on backend servers. Orders are idempotent, since
 * they state the wanted versions, and the state of a server is read each time.
 */
import type { Backend, BackendOrder, BackendState } from '../backends/types.ts'
import type { Clock } from '../clock/index.ts'
import type { CyclamenError } from '../errors/index.ts'
import type { BackendId, VersionId } from '../ids/index.ts'
import type { Duty } from '../leases/index.ts'
import type { Result } from 'true-myth'

/** Longest time for one call to a backend server. */
const callTimeoutMs = 2_000
/** Backend servers of a team that may load at the same time; more would compete for the weight store. */
const maxConcurrentLoads = 1

/** Calls to one backend server. */
export interface BackendOrders {
  order: (order: BackendOrder, deadlineAtMs: number) => Promise<Result<BackendState, CyclamenError>>
  state: (deadlineAtMs: number) => Promise<Result<BackendState, CyclamenError>>
}

/** Options of `createLoadVersions`. */
export interface LoadVersionsOptions {
  clock: Clock
  ordersOf: (backend: BackendId) => BackendOrders | undefined
}

/** Orders the backend servers to hold exactly `versions`; returns those that do. */
export type LoadVersions = (duty: Duty, backends: readonly Backend[], versions: readonly VersionId[], checksFencing: boolean) => Promise<BackendId[]>

function holdsExactly (state: BackendState, versions: readonly VersionId[]): boolean {
  return versions.every(version => state.versions.includes(version)) && state.versions.length === versions.length
}

/** Creates the function that sends the due orders. */
export function createLoadVersions ({ clock, ordersOf }: LoadVersionsOptions): LoadVersions {
  async function stateOf (backend: Backend): Promise<BackendState | undefined> {
    const state = await ordersOf(backend.id)?.state(clock.wallMs() + callTimeoutMs)
    return state?.isOk === true ? state.value : undefined
  }

  async function order (duty: Duty, backend: Backend, state: BackendState, versions: readonly VersionId[], checksFencing: boolean): Promise<boolean> {
    const window = duty.orderWindow(checksFencing)
    if (window === undefined) return false
    const wanted = { versions: [...versions], adapters: state.adapters, role: state.role }
    const deadlineAtMs = Math.min(window.deadlineAtMs, clock.wallMs() + callTimeoutMs)
    const response = await ordersOf(backend.id)?.order({ fencingNumber: window.fencingNumber, wanted }, deadlineAtMs)
    return response?.isOk === true && holdsExactly(response.value, versions)
  }

  return async (duty, backends, versions, checksFencing) => {
    const states = await Promise.all(backends.map(async backend => ({ backend, state: await stateOf(backend) })))
    const ready: BackendId[] = []
    let loading = states.filter(({ state }) => (state?.loading.length ?? 0) > 0).length
    for (const { backend, state } of states) {
      if (state === undefined) continue
      if (holdsExactly(state, versions)) {
        ready.push(backend.id)
        continue
      }
      const needsLoad = versions.some(version => !state.versions.includes(version))
      if (needsLoad && (state.loading.length > 0 || loading >= maxConcurrentLoads)) continue
      if (needsLoad) loading += 1
      if (await order(duty, backend, state, versions, checksFencing)) ready.push(backend.id)
    }
    return ready
  }
}
