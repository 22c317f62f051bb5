/** Sends orders to a backend server and reads its state. */
import { Result } from 'true-myth'
import { requestJson } from '../connections/index.ts'
import { createError } from '../errors/index.ts'
import type { Clock } from '../clock/index.ts'
import type { Connections } from '../connections/index.ts'
import type { CyclamenError } from '../errors/index.ts'
import type { BackendId } from '../ids/index.ts'
import type { BackendOrder, BackendState, EngineClient } from './types.ts'

/** Options of the order functions of one backend server. */
export interface BackendOrdersOptions {
  backend: BackendId
  connections: Connections
  clock: Clock
}

const conflictStatus = 409

/** Creates the order functions of one backend server. */
export function createBackendOrders ({ backend, connections, clock }: BackendOrdersOptions): Pick<EngineClient, 'order' | 'state'> {
  function createFailure (cause: string): CyclamenError {
    return createError('BackendFailed', { backend, cause })
  }

  async function order (backendOrder: BackendOrder, deadlineAtMs: number): Promise<Result<BackendState, CyclamenError>> {
    try {
      const { status, body } = await requestJson(connections, clock, { method: 'POST', path: '/v1/orders', body: backendOrder, deadlineAtMs })
      if (status === 200) return Result.ok(body as BackendState)
      if (status !== conflictStatus) return Result.err(createFailure(`the request for an order was answered with status ${status}`))
      const { highestFencingNumber } = body as BackendState
      return Result.err(createError('OrderFenced', { backend, fencingNumber: backendOrder.fencingNumber, highestFencingNumber }))
    } catch (error) {
      return Result.err(createFailure((error as Error).message))
    }
  }

  async function state (deadlineAtMs: number): Promise<Result<BackendState, CyclamenError>> {
    try {
      const { status, body } = await requestJson(connections, clock, { method: 'GET', path: '/v1/state', deadlineAtMs })
      return status === 200 ? Result.ok(body as BackendState) : Result.err(createFailure(`the request for the state was answered with status ${status}`))
    } catch (error) {
      return Result.err(createFailure((error as Error).message))
    }
  }

  return { order, state }
}
