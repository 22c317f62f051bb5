/** The sums of all sources, and the parts of them that fit into reports and digests. */
import { toId } from '../ids/index.ts'
import { createDecayedSums } from './decayed-sums.ts'
import type { Clock } from '../clock/index.ts'
import type { BackendId, NodeId } from '../ids/index.ts'
import type { DecayedSums } from './decayed-sums.ts'
import type { ServerSums, ServiceSums, SpeedReport } from './types.ts'

/** Number of messages in which all servers are sent once: with a report each 200 ms, within 1.6 s. Fewer cost a collector of 73 nodes 4 % of a core. */
const messagesPerCycle = 8
/** Number of servers in one message. The largest takes some 5 kB; a cycle of 10,000 servers takes 16 s, about the half-life of the sums. */
const minServersPerMessage = 16
const maxServersPerMessage = 128
/** Number of servers in the first digest for a node. */
const maxServersAtStart = 400

/** The sums of all sources. */
export interface SpeedStore {
  servers: DecayedSums<ServerSums>
  services: DecayedSums<ServiceSums>
  merge: (source: NodeId, report: SpeedReport) => void
  removeSource: (source: string) => void
}

/** The key of one start of a backend server. */
export function serverKey (backend: BackendId, startedAtMs: number): string {
  return `${startedAtMs}/${backend}`
}

/** The backend server and the start that a key names. */
export function readServerKey (key: string): { backend: BackendId, startedAtMs: number } {
  const separatorAt = key.indexOf('/')
  return { backend: toId<BackendId>(key.slice(separatorAt + 1)), startedAtMs: Number(key.slice(0, separatorAt)) }
}

/** Creates an empty store. */
export function createSpeedStore (clock: Clock): SpeedStore {
  const servers = createDecayedSums<ServerSums>(clock)
  const services = createDecayedSums<ServiceSums>(clock)
  return {
    servers,
    services,
    merge: (source, report) => {
      for (const { backend, startedAtMs, sums } of report.servers) servers.set(source, serverKey(backend, startedAtMs), sums)
      for (const { service, sums } of report.services) services.set(source, service, sums)
    },
    removeSource: source => {
      servers.removeSource(source)
      services.removeSource(source)
    }
  }
}

/** Creates a function that returns the next part of a list, so that every item has its turn. */
export function createRotation (): (keys: readonly string[], isFirst: boolean) => string[] {
  let position = 0
  return (keys, isFirst) => {
    const count = isFirst ? maxServersAtStart : Math.min(maxServersPerMessage, Math.max(minServersPerMessage, Math.ceil(keys.length / messagesPerCycle)))
    const start = position >= keys.length ? 0 : position
    position = start + count
    return keys.slice(start, position)
  }
}

/** Reads the sums of the keys into a report. */
export function readReport (serverKeys: readonly string[], serviceNames: readonly string[], sumsOf: { server: (key: string) => ServerSums | undefined, service: (name: string) => ServiceSums | undefined }): SpeedReport {
  return {
    servers: serverKeys.flatMap(key => {
      const sums = sumsOf.server(key)
      return sums === undefined ? [] : [{ ...readServerKey(key), sums }]
    }),
    services: serviceNames.flatMap(service => {
      const sums = sumsOf.service(service)
      return sums === undefined ? [] : [{ service, sums }]
    })
  }
}
