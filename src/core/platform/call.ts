/** Calls of platform services that respond with JSON. */
import { Result } from 'true-myth'
import { requestJson } from '../connections/index.ts'
import { createError } from '../errors/index.ts'
import type { Clock } from '../clock/index.ts'
import type { Connections, JsonResponse, JsonRequest } from '../connections/index.ts'
import type { CyclamenError } from '../errors/index.ts'

/** Sends one request. A response status that isn't accepted (default: 200 only) and a failed request are both errors. */
export type PlatformCall = (operation: string, request: JsonRequest, acceptedStatuses?: number[]) => Promise<Result<JsonResponse, CyclamenError<'PlatformCallFailed'>>>

const okStatus = 200

/** Creates the call function of one service; `service` is its name in errors. */
export function createPlatformCall (service: string, connections: Connections, clock: Clock): PlatformCall {
  return async (operation, request, statuses = [okStatus]) => {
    try {
      const response = await requestJson(connections, clock, request)
      if (statuses.includes(response.status)) return Result.ok(response)
      return Result.err(createError('PlatformCallFailed', { service, operation, cause: `status ${response.status}` }))
    } catch (error) {
      return Result.err(createError('PlatformCallFailed', { service, operation, cause: (error as Error).message }))
    }
  }
}
