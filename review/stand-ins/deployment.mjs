/**
 * A small deployment on loopback: node processes that are started with the
 * command of deploy/system.toml, beside the stand-ins of a case, and the record
 * and the verdict of the case.
 */
import { spawn } from 'node:child_process'
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { get } from 'node:http'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const repository = dirname(dirname(dirname(fileURLToPath(import.meta.url))))
/** A case ends after this time at the latest. */
const maxCaseMs = 110_000
const readyTimeoutMs = 15_000
const readyPollMs = 100
const portsPerNode = 8

export const exitCodes = { held: 0, broken: 1, notRun: 2 }

export function sleep (durationMs) {
  return new Promise(resolve => setTimeout(resolve, durationMs))
}

/** The command of the role in the deploy file. */
function nodeCommand () {
  const run = /^run\s*=\s*"([^"]+)"/m.exec(readFileSync(join(repository, 'deploy/system.toml'), 'utf8'))?.[1]
  if (run === undefined) throw new Error('deploy/system.toml has no command')
  const [program, ...words] = run.split(' ')
  if (!existsSync(join(repository, words.at(-1)))) throw new Error(`${words.at(-1)} is missing: run the build of deploy/system.toml`)
  return { program, words }
}

function listen (port) {
  return new Promise((resolve, reject) => {
    const server = createServer()
    server.once('error', reject)
    server.listen({ host: '127.0.0.1', port }, () => resolve(server))
  })
}

/** Finds consecutive free ports. */
async function findPorts (count) {
  for (let attempt = 0; attempt < 100; attempt += 1) {
    const first = 20_000 + Math.floor(Math.random() * 10_000)
    const servers = []
    try {
      for (let port = first; port < first + count; port += 1) servers.push(await listen(port))
      return first
    } catch {
      // One of the ports is taken; other ones are tried.
    } finally {
      await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
    }
  }
  throw new Error('no free ports')
}

function portsOf (firstPort) {
  return { front: firstPort, readiness: firstPort + 1, control: firstPort + 2, firstInternal: firstPort + 3, lastInternal: firstPort + portsPerNode - 1 }
}

/** The settings of a node: the example of the platform's pages, with loopback addresses. */
function renderSettings ({ name, ports, seeds, platform, isFirstStart, extra }) {
  const fields = {
    node_name: name,
    role: 'entry',
    machine_class: 'front',
    serves: 'front,control',
    ip: '127.0.0.1',
    zone: 'zone-a',
    region: 'region',
    'zones.zone-a': 'region',
    'listen.front': `127.0.0.1:${ports.front}`,
    'listen.readiness': `127.0.0.1:${ports.readiness}`,
    'listen.control': `127.0.0.1:${ports.control}`,
    internal_ports: `${ports.firstInternal},${ports.lastInternal}`,
    seeds: seeds.join(','),
    bootstrap: isFirstStart,
    in_tolerance: false,
    'limits.cpu_share': 0.675,
    'limits.cores': 1,
    'limits.memory_mb': 350,
    'limits.max_fds': 4100,
    'limits.link_mbps': 1000,
    'limits.disk_mb': 0,
    discovery: 'platform',
    entry: 'vip',
    heartbeat_ms: 1200,
    contracts: 'base,drain,config,cost,retry,recover,engine,stream,tenants,quota,leader,rollout,platform',
    'bounds.drain_ms': 2000,
    'bounds.grace_s': 8,
    'bounds.retry_budget_ratio': 0.2,
    'bounds.budget_window_s': 10,
    'bounds.budget_slack': 58,
    'bounds.quota_window_s': 8,
    'bounds.quota_overrun': 0.1,
    'bounds.quota_slack': 110000,
    'bounds.require_fence': true,
    'bounds.lease_ms': 3000,
    'bounds.report_window_s': 5,
    'bounds.usage_late_s': 10,
    'platform.address': platform.address,
    'platform.form': 'kv',
    'platform.writes_per_s': 400,
    'platform.reads_per_s': 2000,
    'platform.history_s': 20,
    'platform.value_bytes': 1048576,
    'platform.ttl_min_ms': 1000,
    'cloud.address': platform.address,
    'cloud.rate_per_s': 50,
    'cloud.duties': 'usage_report',
    'cloud.duty_per_s': 50,
    ...extra
  }
  return Object.entries(fields).map(([name, value]) => `${name}=${value}\n`).join('')
}

function isReady (port) {
  return new Promise(resolve => {
    const request = get({ host: '127.0.0.1', port, path: '/cyclamenshunt/ready', agent: false }, response => {
      response.resume()
      resolve(response.statusCode === 200)
    })
    request.on('error', () => resolve(false))
  })
}

/** Creates the nodes; `start` of each starts its process. */
async function createNodes ({ count, platform, folder, log, extra = {} }) {
  const command = nodeCommand()
  const basePort = await findPorts(count * portsPerNode)
  const indexes = Array.from({ length: count }, (_, index) => index)
  const seeds = indexes.map(index => `127.0.0.1:${portsOf(basePort + index * portsPerNode).control}`)
  return indexes.map(index => {
    const name = `front-zone-a-${index + 1}`
    const ports = portsOf(basePort + index * portsPerNode)
    const settingsFile = join(folder, `${name}.conf`)
    let child
    let exited = Promise.resolve()
    let startCount = 0
    return {
      name,
      port: ports.front,
      readinessPort: ports.readiness,
      isUp: () => child !== undefined,
      start: () => {
        startCount += 1
        writeFileSync(settingsFile, renderSettings({ name, ports, seeds, platform, isFirstStart: startCount === 1, extra }))
        const started = spawn(command.program, command.words, { cwd: repository, env: { PATH: process.env.PATH, HOME: process.env.HOME, CYCLAMENSHUNT_SETTINGS: settingsFile }, stdio: ['ignore', 'pipe', 'pipe'] })
        child = started
        for (const stream of [started.stdout, started.stderr]) stream.on('data', text => log(name, String(text)))
        exited = new Promise(resolve => started.on('exit', () => {
          child = undefined
          resolve()
        }))
      },
      signal: kind => child?.kill(kind),
      /** Resolves once the platform would send connections to the node. */
      whenReady: async () => {
        const untilMs = performance.now() + readyTimeoutMs
        while (!await isReady(ports.readiness)) {
          if (performance.now() > untilMs) throw new Error(`${name} isn't ready`)
          await sleep(readyPollMs)
        }
      },
      whenDown: () => exited
    }
  })
}

/**
 * Runs a case: `play({ isTroubled, record, createNodes, onClose })` returns the violations that it saw.
 * Writes record.txt into the case's folder, ends all processes, and exits with the code of the result.
 */
export async function runCase (caseUrl, play) {
  const caseFolder = dirname(fileURLToPath(caseUrl))
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  const isTroubled = process.env.TROUBLE !== '0'
  const startedAtMs = performance.now()
  const lines = []
  const nodeLog = []
  const closers = []
  const nodes = []

  function record (text) {
    lines.push(`${((performance.now() - startedAtMs) / 1_000).toFixed(3)} s  ${text}`)
  }

  function finish (code, summary) {
    record(summary)
    for (const node of nodes) node.signal('SIGKILL')
    for (const close of closers) close()
    writeFileSync(join(caseFolder, 'record.txt'), lines.join('\n') + '\n')
    if (process.env.NODE_LOG !== undefined) writeFileSync(process.env.NODE_LOG, nodeLog.join(''))
    rmSync(folder, { recursive: true, force: true })
    process.stdout.write(`${summary}\n`)
    process.exit(code)
  }

  for (const kind of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.on(kind, () => finish(exitCodes.notRun, `not run: ended by ${kind}`))
  setTimeout(() => finish(exitCodes.notRun, 'not run: the case took too long'), maxCaseMs)
  record(`the case is played ${isTroubled ? 'with' : 'without'} its disruption`)
  try {
    const violations = await play({
      isTroubled,
      record,
      onClose: close => closers.push(close),
      createNodes: async options => {
        const created = await createNodes({ ...options, folder, log: (name, text) => nodeLog.push(text) })
        nodes.push(...created)
        return created
      }
    })
    for (const violation of violations) record(`BROKEN: ${violation}`)
    if (violations.length > 0) finish(exitCodes.broken, `broken: ${violations.length} violations, the first: ${violations[0]}`)
    else finish(exitCodes.held, 'held')
  } catch (error) {
    finish(exitCodes.notRun, `not run: ${error.stack}`)
  }
}
