/** One real node as a process of its own, with the stand-ins that it needs in this process. */
import { createHash } from 'node:crypto'
import { spawn } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { Backend } from '../../../src/core/backends/types.ts'
import { createSystemClock } from '../../../src/core/clock/index.ts'
import { createId, toId } from '../../../src/core/ids/index.ts'
import { createHttpKeyValue } from '../../../src/core/platform/key-value/index.ts'
import type { TeamDeclaration } from '../../../src/core/teams/index.ts'
import { createCountingProxy } from './counting-proxy.ts'
import { createEngineStandIn, createInstanceListStandIn, createKeyValueStandIn } from '../../../src/stand-ins/index.ts'

const team = 'agency'
const token = 'token-of-the-agency'
const ticksPerSecond = 100
const readyBoundMs = 30_000
const lowestPort = 20_000
const portRange = 12_000

/** A node process under measurement. */
export interface NodeDeployment {
  /** Sends one draft and reads its answer to the end; resolves to whether it was whole. */
  draft: (prompt: string, maxTokens: number) => Promise<boolean>
  /** Sets how many entries the instance list has besides the engines that serve, and how many of those it shows. */
  setListed: (runners: number, engines: number) => void
  /** Processor time that the node's process has used, in milliseconds. */
  cpuMs: () => number
  residentBytes: () => number
  keyValueCalls: () => number
  /** Bytes between the node and the services of the platform and engines so far. */
  bytes: () => { list: number, engines: number, keyValue: number }
  close: () => Promise<void>
}

function digestOf (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

function declare (): TeamDeclaration {
  return {
    team: toId(team),
    template: toId('plain'),
    kind: 'model-engine',
    version: toId('v1'),
    routes: [{ name: 'letters', kind: 'draft', priority: 'normal', repeatable: true }],
    tokenDigests: [digestOf(token)],
    weight: 1,
    maxConcurrent: 500,
    maxQueued: 500,
    maxRequestMs: 60_000,
    domains: [toId('a')],
    minBackends: 1,
    maxBackends: 4,
    maxPriceMilliEuroPerHour: 1000,
    checksFencing: true
  }
}

function backendOf (index: number, url: string, state: Backend['state']): Backend {
  return {
    id: toId(`runner-${index}`),
    instance: toId(`instance-${index}`),
    team: toId(team),
    kind: 'model-engine',
    version: toId('v1'),
    domain: toId(`domain-${index % 16}`),
    machineClass: 'one-accelerator',
    reclaimable: true,
    url,
    state
  }
}

function settingsText (ports: { callers: number, peers: number }, keyValueUrl: string, listUrl: string): string {
  return `
node: node-1
failureDomain: a
callers: { host: 127.0.0.1, port: ${ports.callers} }
peers: { host: 127.0.0.1, port: ${ports.peers}, key: a-peer-key-of-more-than-32-characters }
platform:
  keyValue: { endpoints: ["${keyValueUrl}"] }
  instanceList: { url: "${listUrl}" }
operators: { tokenDigests: ["${digestOf('operator')}"] }
`
}

/** Starts the stand-ins and the node, and waits until it is ready. */
export async function startNodeDeployment (random: () => number): Promise<NodeDeployment> {
  const clock = createSystemClock()
  const keyValue = await createKeyValueStandIn()
  const engines = await Promise.all([0, 1, 2, 3].map(() => createEngineStandIn({ versions: ['v1'], timings: { stepMs: 20, stepMsPerSequence: 0, prefillMsPerToken: 0 } })))
  const list = await createInstanceListStandIn({ lagMs: 0 })
  const engineProxies = await Promise.all(engines.map(({ url }) => createCountingProxy(url)))
  const listProxy = await createCountingProxy(list.url)
  const keyValueProxy = await createCountingProxy(keyValue.url)
  const serving = engineProxies.map(({ url }, index) => backendOf(index, url, 'live'))
  const setListed = (count: number, engineCount: number): void => {
    // Starting ones are listed and kept, and no requests go to them.
    list.setBackends([...serving.slice(0, engineCount), ...Array.from({ length: count }, (_, index) => backendOf(index + serving.length, 'http://127.0.0.1:9', 'starting'))])
  }
  setListed(0, serving.length)
  const store = createHttpKeyValue({ endpoints: [keyValue.url], clock })
  const content = { template: 'plain', parameters: {}, declaration: declare() }
  const value = JSON.stringify({ writeId: createId('wr'), by: 'measure', atMs: clock.wallMs(), content })
  await store.transact({ compares: [], deletes: [], puts: [{ key: `config/teams/${team}`, value }] }, { deadlineAtMs: clock.wallMs() + 5000 })
  const peers = lowestPort + Math.floor(random() * portRange)
  const ports = { callers: peers + 1, peers }
  // A node serves once the list shows it.
  list.setNodes([{ address: { node: toId('node-1'), domain: toId('a'), host: '127.0.0.1', port: ports.peers }, leaving: false }])
  const folder = await mkdtemp(join(tmpdir(), 'measure-'))
  const file = join(folder, 'node.yaml')
  await writeFile(file, settingsText(ports, keyValueProxy.url, listProxy.url))
  const child = spawn(process.execPath, ['--import=tsx', 'src/main.ts', 'serve', '--config', file], { stdio: 'ignore' })
  const url = `http://127.0.0.1:${ports.callers}`
  await untilReady(url)

  function cpuMs (): number {
    const fields = readFileSync(`/proc/${child.pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? []
    return (Number(fields[11]) + Number(fields[12])) * 1000 / ticksPerSecond
  }

  async function draft (prompt: string, maxTokens: number): Promise<boolean> {
    const response = await fetch(`${url}/v1/teams/${team}/drafts/letters`, {
      method: 'POST',
      headers: { authorization: `Bearer ${token}` },
      body: JSON.stringify({ prompt, maxTokens })
    })
    return (await response.text()).includes('event: end')
  }

  async function untilReady (nodeUrl: string): Promise<void> {
    const endAtMs = clock.monotonicMs() + readyBoundMs
    for (;;) {
      const ready = await fetch(`${nodeUrl}/readyz`).then(({ status }) => status === 200, () => false)
      if (ready) return
      if (clock.monotonicMs() > endAtMs) throw new Error('the node did not become ready in time')
      await clock.sleep(100)
    }
  }

  return {
    draft,
    setListed,
    cpuMs,
    residentBytes: () => Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${child.pid}/status`, 'utf8'))?.[1] ?? 0) * 1024,
    keyValueCalls: () => keyValue.calls().total,
    bytes: () => ({
      list: listProxy.bytes(),
      engines: engineProxies.reduce((sum, proxy) => sum + proxy.bytes(), 0),
      keyValue: keyValueProxy.bytes()
    }),
    close: async () => {
      child.kill('SIGTERM')
      await new Promise(resolve => child.once('exit', resolve))
      await Promise.all([listProxy, keyValueProxy, ...engineProxies].map(proxy => proxy.close()))
      await Promise.all([store.close(), list.close(), ...engines.map(engine => engine.close())])
      await keyValue.close()
      await rm(folder, { recursive: true })
    }
  }
}
