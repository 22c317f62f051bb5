/**
 * Retry budget: limits retries to a ratio of the requests, so that failures don't
 * multiply the load. Each first attempt deposits a fraction of a retry into the
 * budget of its backend server and into the overall budget; a retry takes one from both.
 */
import type { Clock } from '../clock/index.ts'
import type { BackendId } from '../ids/index.ts'
import type { RetryReason } from '../outcomes/index.ts'
import type { RetryBudget } from './types.ts'

/** Retries that one request deposits. */
const defaultRetryRatio = 0.1
/** Time over which deposits may accumulate. */
const accumulationMs = 10_000
/** Retries per second that are allowed without any traffic. */
const defaultMinRetriesPerSecond = 0.5

/** Reasons that move accepted work to another backend server or node. They need no limit, because each can affect an attempt only once. */
const unlimitedReasons: ReadonlySet<RetryReason> = new Set(['backend-leaving', 'version-withdrawn', 'owner-moved'])

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  clock: Clock
  /** Retries per request, 0 to 1. */
  retryRatio?: number
  /** Retries per second that are allowed regardless of the traffic; this node's share when several nodes have a common budget. */
  minRetriesPerSecond?: () => number
}

interface BudgetState {
  balanceRetries: number
  /** Exponential moving average of the request rate over `accumulationMs`. */
  requestsPerSecond: number
  updatedAtMs: number
}

/** Creates the retry budget of one node. */
export function createRetryBudget (options: RetryBudgetOptions): RetryBudget {
  const { clock, retryRatio = defaultRetryRatio, minRetriesPerSecond = () => defaultMinRetriesPerSecond } = options
  const overallBudget = createBudget()
  const backendBudgets = new Map<BackendId, BudgetState>()

  function createBudget (): BudgetState {
    const balanceRetries = Math.max(1, minRetriesPerSecond() * accumulationMs / 1000)
    return { balanceRetries, requestsPerSecond: 0, updatedAtMs: clock.monotonicMs() }
  }

  function budgetOf (backend: BackendId): BudgetState {
    const existing = backendBudgets.get(backend)
    if (existing !== undefined) return existing
    const created = createBudget()
    backendBudgets.set(backend, created)
    return created
  }

  function update (budget: BudgetState): void {
    const nowMs = clock.monotonicMs()
    const elapsedMs = nowMs - budget.updatedAtMs
    budget.requestsPerSecond *= Math.exp(-elapsedMs / accumulationMs)
    const retriesPerSecond = Math.max(minRetriesPerSecond(), retryRatio * budget.requestsPerSecond)
    const maxBalance = Math.max(1, retriesPerSecond * accumulationMs / 1000)
    budget.balanceRetries = Math.min(maxBalance, budget.balanceRetries + minRetriesPerSecond() * elapsedMs / 1000)
    budget.updatedAtMs = nowMs
  }

  function depositInto (budget: BudgetState): void {
    budget.requestsPerSecond += 1000 / accumulationMs
    update(budget)
    budget.balanceRetries += retryRatio
  }

  function deposit (backend: BackendId): void {
    depositInto(overallBudget)
    depositInto(budgetOf(backend))
  }

  function take (backend: BackendId, reason: RetryReason): boolean {
    if (unlimitedReasons.has(reason)) return true
    const budget = budgetOf(backend)
    update(overallBudget)
    update(budget)
    if (overallBudget.balanceRetries < 1 || budget.balanceRetries < 1) return false
    overallBudget.balanceRetries -= 1
    budget.balanceRetries -= 1
    return true
  }

  return { deposit, take, removeBackend: backend => { backendBudgets.delete(backend) } }
}
