/**
 * Stand-ins that simulate the services and backend servers around this
 * system, for tests, the demo and the command `cyclamenshunt stand-in`.
 */
import { createCloudStandIn } from './cloud/index.ts'
import { createBackendStarter } from './cloud/start-backend.ts'
import { createEngineStandIn } from './engine/index.ts'
import { createInstanceListStandIn } from './instance-list/index.ts'
import { createKeyValueStandIn } from './key-value/index.ts'
import { createServiceStandIn } from './service/index.ts'
import { createWeightStoreStandIn } from './weight-store/index.ts'
import type { CloudStandInOptions } from './cloud/index.ts'
import type { StandInBackendOptions } from './cloud/start-backend.ts'

export { createCloudStandIn } from './cloud/index.ts'
export { createBackendStarter } from './cloud/start-backend.ts'
export { createEngineStandIn, generatedAnswer } from './engine/index.ts'
export { createInstanceListStandIn } from './instance-list/index.ts'
export { createKeyValueStandIn } from './key-value/index.ts'
export { createServiceStandIn } from './service/index.ts'
export { createWeightStoreStandIn } from './weight-store/index.ts'

/** A running stand-in of any kind. */
export interface RunningStandIn {
  url: string
  /** Base address of the control API, for stand-ins that have a separate control listener. */
  controlUrl?: string
  close: () => Promise<void>
}

/** Starts the cloud; its instances run stand-in engines and services. */
function startCloud (options: CloudStandInOptions & StandInBackendOptions): Promise<RunningStandIn> {
  return createCloudStandIn({ ...options, startBackend: createBackendStarter(options) })
}

/** Start functions by kind. Each takes an options object with `host` and `port`. */
export const standIns = {
  'key-value': createKeyValueStandIn,
  engine: createEngineStandIn,
  service: createServiceStandIn,
  cloud: startCloud,
  'instance-list': createInstanceListStandIn,
  'weight-store': createWeightStoreStandIn
} as const satisfies Record<string, (options: never) => Promise<RunningStandIn>>

export type StandInKind = keyof typeof standIns
