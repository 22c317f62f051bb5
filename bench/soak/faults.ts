/** Faults injected from outside the node processes, drawn from a seeded generator; several can be active at a time. */
import type { NodeProcess } from './node-process.ts'
import type { ProxyMode } from './proxy.ts'
import type { SoakDeployment } from './deployment.ts'

/** An active fault. */
export interface Fault {
  name: string
  /** Ends the fault and restores what it changed. */
  end: () => Promise<void>
}

type StartFault = (deployment: SoakDeployment, random: () => number) => Promise<Fault> | Fault

function pick<Value> (values: readonly Value[], random: () => number): Value {
  return values[Math.floor(random() * values.length)] as Value
}

const faultyModes: readonly ProxyMode[] = ['delay', 'reset', 'one-way', 'silent']

const lastingCrashMs = 5_000
/** Longer than the window in which requests to a limited backend server are counted. */
const lastingLimitMs = 4_500

/** Longest time between two steps of a drill. */
const maxDrillPauseMs = 1_500

/** Starts a node's process again if it has exited; resumes it first if it is paused. */
async function restart (node: NodeProcess): Promise<void> {
  node.resume()
  node.start()
}

function shuffle<Value> (values: readonly Value[], random: () => number): Value[] {
  return values.map(value => ({ value, order: random() })).toSorted((a, b) => a.order - b.order).map(({ value }) => value)
}

/** Restores the store from an older copy once or twice, and kills some or all nodes before, between or after, in a random order. */
export async function startDrill ({ nodes, setStoreFault, restoreStore }: SoakDeployment, random: () => number): Promise<Fault> {
  const isAwayFirst = random() < 0.5
  const killRatio = pick([0.3, 0.6, 1], random)
  const kill = (): void => {
    for (const node of nodes) if (random() < killRatio) node.kill()
  }
  const steps = shuffle([
    { name: 'restore', run: restoreStore },
    { name: 'kill', run: async () => kill() },
    ...(random() < 0.5 ? [{ name: 'restore', run: restoreStore }] : []),
    ...(random() < 0.5 ? [{ name: 'kill', run: async () => kill() }] : [])
  ], random)
  const pausesMs = steps.map(() => random() * maxDrillPauseMs)
  if (isAwayFirst) setStoreFault('silent')
  async function run (): Promise<void> {
    for (const [index, step] of steps.entries()) {
      await step.run()
      setStoreFault('none')
      await new Promise(resolve => setTimeout(resolve, pausesMs[index]))
      await Promise.all(nodes.map(restart))
    }
  }
  const running = run()
  return { name: `drill: ${[...isAwayFirst ? ['store away'] : [], ...steps.map(({ name }) => name)].join(', ')}`, end: () => running }
}

const faultKinds: readonly StartFault[] = [
  ({ nodes }, random) => {
    const node = pick(nodes, random)
    node.kill()
    return { name: `kill ${node.name}`, end: () => restart(node) }
  },
  ({ nodes }, random) => {
    const killRatio = random()
    const killed = nodes.filter(() => random() < killRatio)
    for (const node of killed) node.kill()
    return { name: `kill ${killed.length} nodes`, end: async () => { await Promise.all(killed.map(restart)) } }
  },
  ({ nodes }, random) => {
    const node = pick(nodes, random)
    node.stop()
    return { name: `stop ${node.name}`, end: () => restart(node) }
  },
  ({ nodes }, random) => {
    const node = pick(nodes, random)
    node.pause()
    return { name: `pause ${node.name}`, end: async () => node.resume() }
  },
  ({ nodes }, random) => {
    const node = pick(nodes, random)
    node.reload()
    return { name: `reload ${node.name}`, end: async () => {} }
  },
  ({ backends }, random) => {
    const { proxy } = pick(backends, random)
    const mode = pick(faultyModes, random)
    proxy.setMode(mode)
    return { name: `${mode} to a backend server`, end: async () => proxy.setMode('pass') }
  },
  ({ storeProxies }, random) => {
    const proxy = pick(storeProxies, random)
    const mode = pick(faultyModes, random)
    proxy.setMode(mode)
    return { name: `${mode} between the store and one node`, end: async () => proxy.setMode('pass') }
  },
  ({ setStoreFault }, random) => {
    const fault = pick(['busy', 'lost', 'silent', 'no-history'] as const, random)
    setStoreFault(fault)
    return { name: `store ${fault}`, end: async () => setStoreFault('none') }
  },
  async ({ backends }, random) => {
    const backend = pick(backends, random)
    await backend.register(true)
    return { name: 'a backend server drains', end: () => backend.register(false) }
  },
  async ({ backends }, random) => {
    const backend = pick(backends, random)
    await backend.removeEntry()
    return { name: 'the entry of a backend server is removed', end: () => backend.register(false) }
  },
  async ({ setStoreFault, restoreStore }, random) => {
    setStoreFault(pick(['busy', 'silent'] as const, random))
    return {
      name: 'the store comes back from an older copy',
      end: async () => {
        setStoreFault('none')
        await restoreStore()
      }
    }
  },
  ({ backends }, random) => {
    const backend = pick(backends, random)
    backend.mode.isLeaving = true
    return { name: 'a backend server says that it is leaving', end: backend.restart }
  },
  ({ backends }, random) => {
    const { mode } = pick(backends, random)
    mode.pauseSeconds = 0.6 + Math.round(random() * 20) / 10
    return { name: `a backend server asks for pauses of ${mode.pauseSeconds} s`, end: async () => { mode.pauseSeconds = undefined } }
  },
  ({ backends }, random) => {
    const share = random()
    const limited = backends.filter(() => random() < share)
    const limitPerSecond = pick([0, 0.2, 1, 1.4, 10], random)
    const limit = { perSecond: limitPerSecond, sinceMs: performance.now() }
    for (const { mode } of limited) mode.limit = limit
    const end = async (): Promise<void> => {
      await new Promise(resolve => setTimeout(resolve, lastingLimitMs))
      for (const { mode } of limited) if (mode.limit === limit) mode.limit = undefined
    }
    return { name: `${limited.length} backend servers limit their requests to ${limitPerSecond} a second`, end }
  },
  ({ crashing }, random) => {
    if (crashing.part !== undefined) return { name: 'none', end: async () => {} }
    const part = `bad${Math.floor(random() * 1e9).toString(16)}`
    crashing.part = part
    const end = async (): Promise<void> => {
      // Prompts must go on to come after the time within which nodes have to refuse them.
      await new Promise(resolve => setTimeout(resolve, lastingCrashMs))
      crashing.part = undefined
    }
    return { name: `a part of a prompt crashes engines: ${part}`, end }
  },
  ({ crashing }, random) => {
    if (crashing.path !== undefined) return { name: 'none', end: async () => {} }
    const path = `/look-up/a?item=bad${Math.floor(random() * 1e9).toString(16)}`
    crashing.path = path
    const end = async (): Promise<void> => {
      await new Promise(resolve => setTimeout(resolve, lastingCrashMs))
      crashing.path = undefined
    }
    return { name: `a request crashes the backend servers that run it: ${path}`, end }
  },
  async deployment => {
    await deployment.publishNextConfiguration()
    return { name: `configuration ${deployment.configurationVersion()}`, end: async () => {} }
  }
]

/** Starts a fault of a randomly drawn kind. */
export async function startFault (deployment: SoakDeployment, random: () => number): Promise<Fault> {
  return await pick(faultKinds, random)(deployment, random)
}
