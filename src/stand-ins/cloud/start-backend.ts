/** Starts stand-in engines and services on the instances of a stand-in cloud. */
import { createEngineStandIn } from '../engine/index.ts'
import { createServiceStandIn } from '../service/index.ts'
import type { CloudInstance } from '../../core/platform/cloud/index.ts'
import type { EngineStandInOptions } from '../engine/index.ts'
import type { ServiceStandInOptions } from '../service/index.ts'
import type { StartedBackend } from './index.ts'

/** Options of the backend servers that the cloud starts. */
export interface StandInBackendOptions {
  /** Teams whose instances run plain services; all others run engines. */
  serviceTeams?: string[]
  engine?: EngineStandInOptions
  service?: ServiceStandInOptions
}

/** Creates the `startBackend` option of a stand-in cloud. */
export function createBackendStarter (options: StandInBackendOptions = {}): (instance: CloudInstance) => Promise<StartedBackend> {
  return async instance => {
    const versions = [instance.version]
    if (options.serviceTeams?.includes(instance.team) === true) {
      const service = await createServiceStandIn({ ...options.service, versions, port: 0 })
      return { kind: 'plain-service', url: service.url, notifyReclaim: () => service.set({ refuse: true }), close: service.close }
    }
    const engine = await createEngineStandIn({ ...options.engine, versions, port: 0 })
    return { kind: 'model-engine', url: engine.url, notifyReclaim: goneAtMs => engine.set({ goneAtMs }), close: engine.close }
  }
}
