/** Starts nodes as processes, with the command of the deploy file and settings like the platform's. */
import { spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { get } from 'node:http'
import { tmpdir } from 'node:os'
import { dirname, join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'

const root = resolve(dirname(fileURLToPath(import.meta.url)), '../..')
const runLine = /^run = "(.*)"$/m.exec(readFileSync(join(root, 'deploy/system.toml'), 'utf8'))[1]

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

async function isFree (host, port) {
  return await new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen({ host, port }, () => server.close(() => resolve(true)))
  })
}

/** Finds a block of six free ports at an address. */
async function freeBlock (host) {
  for (;;) {
    const base = 20_000 + 8 * Math.floor(Math.random() * 1_500)
    const free = await Promise.all([0, 1, 2, 3, 4, 5].map(offset => isFree(host, base + offset)))
    if (free.every(Boolean)) return base
  }
}

async function isReady (address) {
  const [host, port] = address.split(':')
  return await new Promise(resolve => {
    const request = get({ host, port, path: '/cyclamenshunt/ready', timeout: 500, agent: false }, response => {
      response.resume()
      resolve(response.statusCode === 200)
    })
    request.on('error', () => resolve(false))
    request.on('timeout', () => request.destroy())
  })
}

/** Creates a group of nodes; `bounds` are the fields of the deployment's sheet. */
export async function createNodes ({ count, hostOf, zoneOf, storeAddressOf, cloudAddress, settings = {}, keepLogs = false }) {
  const directory = mkdtempSync(join(tmpdir(), 'review-case-'))
  const machines = []
  for (let index = 0; index < count; index += 1) {
    const host = hostOf(index)
    const base = await freeBlock(host)
    machines.push({ index, name: `front-${zoneOf(index)}-${index + 1}`, host, zone: zoneOf(index), base, front: `${host}:${base}`, readiness: `${host}:${base + 1}`, control: `${host}:${base + 2}`, process: undefined, isFirstStart: true, exits: [] })
  }
  const zones = [...new Set(machines.map(({ zone }) => zone))]

  function settingsText (machine) {
    const fields = {
      node_name: machine.name,
      role: 'entry',
      machine_class: 'front',
      serves: 'front,control',
      ip: machine.host,
      zone: machine.zone,
      region: 'casablanca',
      ...Object.fromEntries(zones.map(zone => [`zones.${zone}`, 'casablanca'])),
      'listen.front': machine.front,
      'listen.readiness': machine.readiness,
      'listen.control': machine.control,
      internal_ports: `${machine.base + 3},${machine.base + 5}`,
      seeds: machines.slice(0, 3).map(({ control }) => control).join(','),
      bootstrap: String(machine.isFirstStart),
      in_tolerance: 'false',
      'limits.cpu_share': 0.675,
      'limits.cores': 1,
      'limits.memory_mb': 350,
      'limits.max_fds': 4100,
      'limits.link_mbps': '1000.0',
      'limits.disk_mb': 0,
      discovery: 'platform',
      entry: 'vip',
      heartbeat_ms: 1200,
      contracts: 'base,drain,config,cost,retry,recover,engine,stream,tenants,quota,leader,rollout,platform',
      'bounds.contact_ms': 3000,
      'bounds.drain_ms': 2000,
      'bounds.grace_s': 8,
      'bounds.config_apply_ms': 2000,
      'bounds.skew_max_ms': 5000,
      'bounds.retry_budget_ratio': 0.2,
      'bounds.budget_window_s': 10,
      'bounds.budget_slack': 58,
      'bounds.quota_window_s': 8,
      'bounds.quota_overrun': 0.1,
      'bounds.quota_slack': 110000,
      'bounds.require_fence': true,
      'bounds.lease_ms': 3000,
      'bounds.report_window_s': 5,
      'bounds.usage_tolerance': 0.05,
      'bounds.usage_late_s': 10,
      'bounds.exposure_share': 0.1,
      'bounds.exposure_slack': 50,
      'bounds.rollback_ms': 5000,
      'bounds.recovery_s': 12,
      'platform.address': storeAddressOf(machine.index),
      'platform.form': 'kv',
      'platform.writes_per_s': 400,
      'platform.reads_per_s': 2000,
      'platform.history_s': 20,
      'platform.value_bytes': 1048576,
      'platform.ttl_min_ms': 1000,
      ...(cloudAddress === undefined ? {} : { 'cloud.address': cloudAddress, 'cloud.duties': 'usage_report', 'cloud.duty_per_s': '50.0' }),
      ...settings
    }
    return Object.entries(fields).map(([name, value]) => `${name}=${value}\n`).join('')
  }

  function start (machine) {
    const path = join(directory, `${machine.name}.conf`)
    writeFileSync(path, settingsText(machine))
    machine.isFirstStart = false
    const [command, ...parameters] = runLine.split(' ')
    const { PATH, HOME, LANG } = process.env
    const child = spawn(command, parameters, { cwd: root, env: { PATH, HOME, ...(LANG === undefined ? {} : { LANG }), CYCLAMENSHUNT_SETTINGS: path }, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(join(directory, `${machine.name}.log`), { flags: 'a' })
    child.stdout.on('data', bytes => log.write(bytes))
    child.stderr.on('data', bytes => log.write(bytes))
    child.on('exit', (code, signal) => {
      machine.exits.push({ atMs: Date.now(), code, signal })
      if (machine.process === child) machine.process = undefined
    })
    machine.process = child
  }

  return {
    directory,
    machines,
    start,
    startAll: () => machines.forEach(start),
    whenReady: async (deadlineMs = 20_000) => {
      const untilMs = Date.now() + deadlineMs
      for (const machine of machines) {
        while (!await isReady(machine.readiness)) {
          if (Date.now() > untilMs) return false
          await sleep(50)
        }
      }
      return true
    },
    signal: (machine, name) => machine.process?.kill(name),
    logOf: machine => readFileSync(join(directory, `${machine.name}.log`), 'utf8'),
    stopAll: async () => {
      for (const machine of machines) machine.process?.kill('SIGKILL')
      while (machines.some(machine => machine.process !== undefined)) await sleep(20)
      if (!keepLogs) rmSync(directory, { recursive: true, force: true })
    }
  }
}
