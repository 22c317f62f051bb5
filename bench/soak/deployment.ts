/** A small deployment on loopback: nodes as real processes, backend servers and store as stand-ins, and proxies between them. */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { startRawBackend } from '../../src/stand-ins/raw-backend/index.ts'
import {
  createBackendHandler, configurationKey, createConfiguration, backendEntryKey, createBackendEntry, evacuationKey, nodeSettings, createNodePorts, startPlatform
} from '../../test/platform-adapter/soak-deployment.ts'
import { createEngineHandler } from '../../test/platform-adapter/soak-engine.ts'
import { createNodeProcess } from './node-process.ts'
import { createPace } from './pace.ts'
import { takePortBlock } from './port-block.ts'
import { startProxy } from './proxy.ts'
import type { RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'
import type { BackendMode, ColdEngines } from '../../test/platform-adapter/soak-deployment.ts'
import type { Arrival } from './arrival.ts'
import type { Attempt } from './checks.ts'
import type { NodeProcess, NodeProcessOptions } from './node-process.ts'
import type { Pace } from './pace.ts'
import type { Proxy } from './proxy.ts'

const backendCount = 3
const engineCount = 4
/** Time after which a crashed backend server is back. */
const crashRestartMs = 700
/** Copies of the store; the oldest is some seconds old. */
const copyCount = 4
const copyIntervalMs = 1_000
/** Time after a disturbance of the connections for which the arrival of a request is no evidence. */
const disturbanceMs = 3_000
/** Failure domains of the backend servers; each has servers of both services. */
export const zones = ['a', 'b'] as const
/** Time after a restore within which the operator and the backend servers write again. */
const writeAgainMs = 700
const portsPerNode = 20
/** Maximum number of nodes whose ports fit into one block, without its last port. */
export const maxNodes = 49
/** Maximum processing time of a request. The share `slowRatio` takes up to `maxSlowProcessingMs`, so that requests are open when a node is stopped. */
const maxProcessingMs = 60
const maxSlowProcessingMs = 600
const slowRatio = 0.2

/** A backend server behind its proxy. */
export interface SoakBackend {
  proxy: Proxy
  /** Writes the entry of the backend server; a draining one gets no new requests. */
  register: (isDraining: boolean) => Promise<void>
  /** Deletes the entry, as if it had expired. */
  removeEntry: () => Promise<void>
  /** What it says in its responses from now on. */
  mode: BackendMode
  /** Registers a new start of the backend server, which is neither leaving nor paused nor limited. */
  restart: () => Promise<void>
}

export interface SoakDeployment {
  nodes: NodeProcess[]
  backends: SoakBackend[]
  /** Paces of the streams of engines, and of the other backend servers. */
  paces: { engines: Pace[], backends: Pace[] }
  /** The part of a prompt that crashes engines, and the path of a look-up that crashes the other backend servers; undefined if none does. */
  crashing: { part: string | undefined, path: string | undefined }
  /** One proxy to the store for each node. */
  storeProxies: Proxy[]
  setStoreFault: Awaited<ReturnType<typeof startPlatform>>['setFault']
  /** The calls of the platform's API so far. */
  apiCalls: Awaited<ReturnType<typeof startPlatform>>['apiCalls']
  /** The configuration version that was written last. */
  configurationVersion: () => number
  /** Writes the configuration with the next version. */
  publishNextConfiguration: () => Promise<void>
  /** Restores the store from the oldest copy, some seconds old; the operator and the backend servers then write again. */
  restoreStore: () => Promise<void>
  /** Evacuates a failure domain; one at a time. */
  evacuate: (zone: string) => Promise<void>
  /** Time since the store has had the key of the evacuated domain; negative without one. */
  evacuatedForMs: () => number
  /** Restarts all engines of the evacuated domain and ends its evacuation. */
  endEvacuation: () => Promise<void>
  close: () => Promise<void>
}

export interface SoakDeploymentOptions {
  nodeCount: number
  /** Path of the built program that the nodes run. */
  program: string
  /** Settings of the nodes beside the usual ones. */
  settings?: Record<string, string>
  /** Replaces the handler of a backend server. */
  wrapHandler?: (handler: RawRequestHandler, backend: string) => RawRequestHandler
  /** Called with the id of every request that a backend server runs, prompts aside, and when its work is done. */
  onRun: (id: string) => void
  onRunEnd?: (id: string) => void
  /** Called for each request that reaches a start of a backend server. */
  onArrival: (arrival: Omit<Arrival, 'atMs'>) => void
  /** Called for each look-up, registration and prompt that reaches a backend server. */
  onAttempt?: (attempt: Omit<Attempt, 'atMs'>) => void
  /** Called for each prompt that reaches an engine. */
  onPrompt: (request: string, sharedParts: readonly string[]) => void
  /** Called when an engine crashes. */
  onCrash: () => void
  /** Called when another backend server crashes under a request with the path. */
  onRequestCrash: (path: string) => void
  /** Called for each line that a node logs, and when its process ends. */
  onLogLine?: NodeProcessOptions['onLogLine']
  onExit?: NodeProcessOptions['onExit']
  /** Without it, engines are never cold. */
  coldEngines?: ColdEngines
  random: () => number
}

/** Starts the deployment and the processes of its nodes; they may not be ready yet. */
export async function startSoakDeployment ({ nodeCount, program, settings = {}, wrapHandler = handler => handler, onRun, onRunEnd = () => {}, onArrival, onAttempt = () => {}, onPrompt, onCrash, onRequestCrash, onLogLine, onExit, coldEngines, random }: SoakDeploymentOptions): Promise<SoakDeployment> {
  const folder = mkdtempSync(join(tmpdir(), 'soak-'))
  const portBlock = await takePortBlock()
  const basePort = portBlock.firstPort
  const platform = await startPlatform()
  platform.setEra(1)
  const copies = [platform.copy()]
  const copying = setInterval(() => {
    copies.push(platform.copy())
    if (copies.length > copyCount) copies.shift()
  }, copyIntervalMs)
  /** The evacuated domain, and since when the store has had its key; Infinity while a restore has reverted it. */
  let evacuation: { zone: string, sinceMs: number } | undefined
  const writeEvacuations = async (): Promise<void> => {
    for (const zone of zones) {
      if (evacuation?.zone !== zone) {
        await platform.remove(evacuationKey(zone))
        continue
      }
      await platform.put(evacuationKey(zone), '')
      evacuation.sinceMs = performance.now()
    }
  }
  let storeDisturbedAtMs = -Infinity
  let isStoreAway = false
  const setStoreFault: typeof platform.setFault = fault => {
    if (isStoreAway) storeDisturbedAtMs = performance.now()
    isStoreAway = fault !== 'none' && fault !== 'no-history'
    platform.setFault(fault)
  }
  const cutOffNodes = (): string[] => {
    const disturbedAtMs = isStoreAway ? Infinity : storeDisturbedAtMs
    return nodes.filter((_, index) => Math.max(disturbedAtMs, storeProxies[index]!.lastDisturbedAtMs()) >= performance.now() - disturbanceMs).map(({ name }) => name)
  }
  const observeAttempt = (request: string, backend: string, zone: string, startedAtMs: number, coldMs = 0): void => {
    const evacuatedForMs = evacuation?.zone === zone ? performance.now() - evacuation.sinceMs : -Infinity
    onAttempt({ request, backend, startedAtMs, evacuatedForMs, isCold: coldMs > 0, cutOffNodes: cutOffNodes() })
  }
  let version = 0
  const publishNextConfiguration = async (): Promise<void> => {
    version += 1
    await platform.put(configurationKey, createConfiguration(version, coldEngines))
  }
  await publishNextConfiguration()

  const closeFunctions: Array<() => Promise<void>> = []
  const backends: SoakBackend[] = []
  const paces: SoakDeployment['paces'] = { engines: [], backends: [] }
  const crashing: SoakDeployment['crashing'] = { part: undefined, path: undefined }
  for (let index = 1; index <= backendCount; index += 1) {
    const id = `i-${index}`
    const zone = zones[index % zones.length]!
    const mode: BackendMode = { isLeaving: false, pauseSeconds: undefined, limit: undefined }
    let startedAtMs = Date.now()
    const handleArrival = (request: string, said: Pick<BackendMode, 'pauseSeconds' | 'limit'>): void => {
      observeAttempt(request, id, zone, startedAtMs)
      onArrival({ request, backend: id, startedAtMs, ...said, isDisturbed: proxy.lastDisturbedAtMs() >= performance.now() - disturbanceMs })
    }
    const pace = createPace()
    paces.backends.push(pace)
    const workMs = (): number => random() * (random() < slowRatio ? maxSlowProcessingMs : maxProcessingMs)
    const server = await startRawBackend(wrapHandler(createBackendHandler(id, mode, handleArrival, { onRun, onRunEnd }, { workMs, work: pace.work }, { crashesOn: path => path === crashing.path, crash: () => crash() }), id))
    const proxy = await startProxy(server.port)
    let sequence = 0
    const register = async (isDraining: boolean): Promise<void> => {
      sequence += 1
      await platform.put(backendEntryKey(id), createBackendEntry(proxy.port, isDraining ? 'draining' : 'ready', sequence, startedAtMs, false, 'v1', zone))
    }
    await register(false)
    const restart = async (): Promise<void> => {
      startedAtMs = Date.now()
      Object.assign(mode, { isLeaving: false, pauseSeconds: undefined, limit: undefined })
      await register(false)
    }
    const crash = (): void => {
      onRequestCrash(crashing.path ?? '')
      proxy.crash()
      setTimeout(async () => {
        await proxy.restart()
        await restart()
      }, crashRestartMs)
    }
    backends.push({ proxy, register, restart, mode, removeEntry: () => platform.remove(backendEntryKey(id)) })
    closeFunctions.push(proxy.close, server.close)
  }

  const engines: Array<{ zone: string, register: () => Promise<void>, crash: () => void, restart: () => Promise<void> }> = []
  for (let index = 1; index <= engineCount; index += 1) {
    let startedAtMs = Date.now()
    const id = `e-${index}`
    const zone = zones[index % zones.length]!
    let coldUntilMs = -Infinity
    const coldMs = (): number => Math.max(0, coldUntilMs - Date.now())
    const register = async (): Promise<void> => await platform.put(backendEntryKey(id), createBackendEntry(proxy.port, 'ready', 1, startedAtMs, true, 'v1', zone, coldMs()))
    const restart = async (): Promise<void> => {
      startedAtMs = Date.now()
      coldUntilMs = startedAtMs + (coldEngines?.startMs ?? 0)
      await proxy.restart()
      await register()
    }
    const crash = (): void => {
      onCrash()
      proxy.crash()
      setTimeout(restart, crashRestartMs)
    }
    const crashesOn = (parts: readonly string[]): boolean => crashing.part !== undefined && parts.includes(crashing.part)
    const pace = createPace()
    paces.engines.push(pace)
    const server = await startRawBackend(wrapHandler(createEngineHandler(id, { crashesOn, crash, onArrival: (request, parts) => { observeAttempt(request, id, zone, startedAtMs, coldMs()); onPrompt(request, parts) }, observer: { onRun, onRunEnd }, workMs: () => random() * maxProcessingMs, work: pace.work }), id))
    const proxy = await startProxy(server.port)
    engines.push({ zone, register, crash: proxy.crash, restart })
    await register()
    closeFunctions.push(proxy.close, server.close)
  }

  const indexes = Array.from({ length: nodeCount }, (_, index) => index)
  const seeds = indexes.map(index => createNodePorts(basePort + index * portsPerNode).control)
  const storeProxies = await Promise.all(indexes.map(() => startProxy(Number(platform.address.split(':')[1]))))
  const nodes = indexes.map(index => {
    const name = `front-a-${index + 1}`
    const firstPort = basePort + index * portsPerNode
    const { callers, readiness } = createNodePorts(firstPort)
    return createNodeProcess({
      name, program, folder, callersPort: callers, readinessPort: readiness, settings: isFirstStart => nodeSettings(name, firstPort, storeProxies[index]!.port, seeds, isFirstStart, settings), ...(onLogLine === undefined ? {} : { onLogLine }), ...(onExit === undefined ? {} : { onExit })
    })
  })
  const killAllNodes = (): void => nodes.forEach(node => node.kill())
  // Also ends the node processes when the run is interrupted.
  process.on('exit', killAllNodes)
  for (const node of nodes) node.start()
  return {
    nodes,
    backends,
    paces,
    crashing,
    storeProxies,
    setStoreFault,
    apiCalls: platform.apiCalls,
    configurationVersion: () => version,
    publishNextConfiguration,
    restoreStore: async () => {
      platform.restore(copies[0]!)
      if (evacuation !== undefined) evacuation.sinceMs = Infinity
      copies.length = 1
      await new Promise(resolve => setTimeout(resolve, writeAgainMs))
      await platform.put(configurationKey, createConfiguration(version, coldEngines))
      for (const { register } of backends) await register(false)
      for (const { register } of engines) await register()
      await writeEvacuations()
    },
    evacuatedForMs: () => evacuation === undefined ? -Infinity : performance.now() - evacuation.sinceMs,
    evacuate: async zone => {
      evacuation = { zone, sinceMs: Infinity }
      await writeEvacuations()
    },
    endEvacuation: async () => {
      const evacuated = engines.filter(({ zone }) => zone === evacuation?.zone)
      evacuation = undefined
      for (const { crash } of evacuated) crash()
      for (const { restart } of evacuated) await restart()
      await writeEvacuations()
    },
    close: async () => {
      clearInterval(copying)
      killAllNodes()
      process.off('exit', killAllNodes)
      for (const close of [...closeFunctions, ...storeProxies.map(proxy => proxy.close), platform.close, portBlock.close]) await close()
      rmSync(folder, { recursive: true, force: true })
    }
  }
}
