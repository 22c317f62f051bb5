/**
 * The order API of a stand-in backend server. Orders set the wanted versions,
 * adapters and role; fencing numbers are checked if configured, and loading a
 * version may take time.
 */
import { toId } from '../core/ids/index.ts'
import type { Express, Request, Response } from 'express'
import type { BackendOrder, BackendState } from '../core/backends/index.ts'
import type { VersionId } from '../core/ids/index.ts'

export interface OrderRoutesOptions {
  /** Versions that run from the start. */
  versions: string[]
  /** Whether an order with a lower fencing number than an earlier one is refused. */
  checksFencing: boolean
  /** Loads one version; resolves when the version can be served. */
  load: (version: VersionId) => Promise<void>
}

/** Read access to the state that orders have set. */
export interface OrderState {
  state: () => BackendState
  servesVersion: (version: string) => boolean
  counts: () => { accepted: number, refused: number }
}

const conflictStatus = 409

/** Adds `POST /v1/orders` and `GET /v1/state` to a server. */
export function addOrderRoutes (app: Express, options: OrderRoutesOptions): OrderState {
  let versions = options.versions.map(version => toId<VersionId>(version))
  let wanted: BackendOrder['wanted'] = { versions, adapters: [], role: 'serve' }
  let highestFencingNumber = 0
  const loading = new Set<VersionId>()
  const counts = { accepted: 0, refused: 0 }

  function state (): BackendState {
    return { versions, loading: [...loading], adapters: wanted.adapters, role: wanted.role, highestFencingNumber }
  }

  async function load (version: VersionId): Promise<void> {
    loading.add(version)
    await options.load(version)
    loading.delete(version)
    // A later order may have removed the version while it was loading.
    if (wanted.versions.includes(version)) versions = [...versions, version]
  }

  app.post('/v1/orders', (request: Request, response: Response) => {
    const order = request.body as BackendOrder
    if (options.checksFencing && order.fencingNumber < highestFencingNumber) {
      counts.refused += 1
      return response.status(conflictStatus).json(state())
    }
    counts.accepted += 1
    highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber)
    wanted = order.wanted
    versions = versions.filter(version => wanted.versions.includes(version))
    for (const version of wanted.versions) {
      if (!versions.includes(version) && !loading.has(version)) load(version)
    }
    response.json(state())
  })
  app.get('/v1/state', (_request, response) => { response.json(state()) })

  return { state, servesVersion: version => versions.some(served => served === version), counts: () => ({ ...counts }) }
}
