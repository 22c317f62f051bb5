/** A small deployment in one process: real nodes with stand-ins of the platform and of backend servers. */
import { createHash } from 'node:crypto'
import type { Backend } from '../../src/core/backends/index.ts'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { createId, toId } from '../../src/core/ids/index.ts'
import { createSilentLog } from '../../src/core/log/index.ts'
import type { Log } from '../../src/core/log/index.ts'
import { createNode } from '../../src/core/node/index.ts'
import type { Node } from '../../src/core/node/index.ts'
import { createHttpKeyValue } from '../../src/core/platform/key-value/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { parseNodeSettings } from '../../src/core/settings/index.ts'
import type { TeamDeclaration } from '../../src/core/teams/index.ts'
import { immediateEngineTimings } from '../../src/stand-ins/timings.ts'
import { findFreePorts } from '../free-ports.ts'
import { createEngineStandIn, createInstanceListStandIn, createKeyValueStandIn, createServiceStandIn } from '../../src/stand-ins/index.ts'

export const callerToken = 'token-of-the-agency'
export const operatorToken = 'token-of-an-operator'
const domains = ['a', 'b', 'c']
const defaultMaxWaitMs = 20_000

const sha256Hex = (token: string): string => createHash('sha256').update(token).digest('hex')

function createDeclaration (kind: TeamDeclaration['kind'], team: string): TeamDeclaration {
  return {
    team: toId(team),
    template: toId('plain'),
    kind,
    version: toId('v1'),
    routes: kind === 'model-engine'
      ? [{ name: 'letters', kind: 'draft', priority: 'normal', repeatable: true }]
      : [
          { name: 'registrations', kind: 'call', priority: 'urgent', repeatable: false },
          { name: 'status', kind: 'call', priority: 'normal', repeatable: true }
        ],
    tokenDigests: [sha256Hex(callerToken)],
    weight: 1,
    maxConcurrent: 50,
    maxQueued: 50,
    maxRequestMs: 60_000,
    domains: domains.map(domain => toId(domain)),
    minBackends: 1,
    maxBackends: 4,
    maxPriceMilliEuroPerHour: 1_000,
    checksFencing: true
  }
}

function createBackend (kind: Backend['kind'], team: string, url: string, index: number): Backend {
  return {
    id: toId(`${team}-${index}`),
    instance: toId(`instance-${team}-${index}`),
    team: toId(team),
    kind,
    version: toId('v1'),
    domain: toId(domains[index % domains.length] ?? 'a'),
    machineClass: 'standard',
    reclaimable: true,
    url,
    state: 'live'
  }
}

/** Waits until a condition holds; throws after `maxWaitMs`. */
export async function waitUntil (condition: () => Promise<boolean> | boolean, maxWaitMs = defaultMaxWaitMs): Promise<void> {
  const clock = createSystemClock()
  const endAtMs = clock.monotonicMs() + maxWaitMs
  while (!await condition()) {
    if (clock.monotonicMs() > endAtMs) throw new Error('the condition did not hold in time')
    await clock.sleep(20)
  }
}

/** Options of `startDeployment`. */
export interface DeploymentOptions {
  /** URL of a cloud stand-in; its instances then run all backend servers. */
  cloudUrl?: string
  /** Overrides for the declarations of all teams. */
  declaration?: Partial<TeamDeclaration>
  /** Creates the log of a node; it discards all events otherwise. */
  logOf?: (node: string) => Log
}

/** Starts a deployment and waits until all nodes are ready. `stepMs` is the time of an engine step. */
export async function startDeployment (nodeCount = 3, stepMs = 2, options: DeploymentOptions = {}) {
  const clock = createSystemClock()
  const keyValue = await createKeyValueStandIn()
  const engines = await Promise.all([0, 1].map(() => createEngineStandIn({ versions: ['v1'], timings: { ...immediateEngineTimings, stepMs } })))
  const service = await createServiceStandIn({ versions: ['v1'] })
  const instanceList = await createInstanceListStandIn({ lagMs: 0, ...(options.cloudUrl === undefined ? {} : { cloudUrl: options.cloudUrl }) })
  let backends = options.cloudUrl !== undefined
    ? []
    : [
        ...engines.map((engine, index) => createBackend('model-engine', 'agency', engine.url, index)),
        createBackend('plain-service', 'registry', service.url, 0)
      ]
  instanceList.setBackends(backends)
  const store = createHttpKeyValue({ endpoints: [keyValue.url], clock })
  const declareTeams = (declarations: TeamDeclaration[]) => store.transact({
    compares: [],
    deletes: [],
    puts: declarations.map(declaration => ({
      key: `config/teams/${declaration.team}`,
      value: JSON.stringify({
        writeId: createId('wr'), by: 'test', atMs: clock.wallMs(), content: { template: 'plain', parameters: {}, declaration }
      })
    }))
  }, { deadlineAtMs: clock.wallMs() + 5_000 })
  const declarations = [createDeclaration('model-engine', 'agency'), createDeclaration('plain-service', 'registry')]
    .map(declaration => ({ ...declaration, ...options.declaration }))
  await declareTeams(declarations)

  const firstPort = await findFreePorts(2 * nodeCount)
  const nodePlacements = Array.from({ length: nodeCount }, (_, index) => ({
    name: `node-${index}`,
    domain: domains[index % domains.length] ?? 'a',
    peerPort: firstPort + 2 * index
  }))
  instanceList.setNodes(nodePlacements.map(({ name, domain, peerPort }) => ({
    address: { node: toId(name), domain: toId(domain), host: '127.0.0.1', port: peerPort },
    leaving: false
  })))
  const nodes: Node[] = []
  for (const [index, { name, domain, peerPort }] of nodePlacements.entries()) {
    const settings = await parseNodeSettings(`
node: ${name}
failureDomain: ${domain}
callers: { host: 127.0.0.1, port: ${peerPort + 1} }
peers: { host: 127.0.0.1, port: ${peerPort}, key: a-peer-key-of-more-than-32-characters }
platform:
  keyValue: { endpoints: ["${keyValue.url}"] }
  instanceList: { url: "${instanceList.url}" }${options.cloudUrl === undefined ? '' : `\n  cloud: { url: "${options.cloudUrl}" }`}
operators: { tokenDigests: ["${sha256Hex(operatorToken)}"] }
drain: { maxDrainMs: 10000, balancerDelayMs: 0 }
calls: { shards: 3 }
`, `${name}.yaml`, {})
    if (settings.isErr) throw settings.error
    nodes.push(await createNode({ settings: settings.value, log: options.logOf?.(name) ?? createSilentLog(), random: createRandom(index + 1) }))
  }
  const urlOf = (index: number): string => `http://127.0.0.1:${nodes[index]?.callerPort}`
  for (const index of nodes.keys()) await waitUntil(async () => (await fetch(`${urlOf(index)}/readyz`)).status === 200)

  return {
    nodes,
    engines,
    service,
    keyValue,
    urlOf,
    store,
    /** Declares a version move of the team with model engines. */
    declareMove: (toVersion: string, deadlineAtMs: number) =>
      declareTeams([{ ...createDeclaration('model-engine', 'agency'), move: { toVersion: toId(toVersion), deadlineAtMs } }]),
    /** Writes the declarations of all teams again, with overrides. */
    redeclare: (next: Partial<TeamDeclaration>) => declareTeams(declarations.map(declaration => ({ ...declaration, ...next }))),
    /** Marks an engine as leaving in the instance list. */
    announceReclaim: (engineIndex: number, goneAtMs: number) => {
      backends = backends.map((backend, index) => index === engineIndex ? { ...backend, state: 'leaving', goneAtMs } : backend)
      instanceList.setBackends(backends)
    },
    close: async () => {
      await Promise.all(nodes.map(node => node.close().catch(() => {})))
      await Promise.all([store.close(), instanceList.close(), service.close(), ...engines.map(engine => engine.close())])
      await keyValue.close()
    }
  }
}
