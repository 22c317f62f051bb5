/** What all cases share: the record, the configuration, the runners' beats, and the end with its exit code. */
import { createWriteStream } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { entryOf } from './runner.mjs'
import { sleep } from './nodes.mjs'

export const hasTrouble = process.env.TROUBLE !== '0'
/** Longest time that a case may run. */
const maxRunMs = 115_000
const beatMs = 1_200

/** Opens the record beside the case; `url` is the module's own. */
export function openRecord (url) {
  const stream = createWriteStream(join(dirname(fileURLToPath(url)), 'record.txt'))
  const startedAtMs = Date.now()
  return {
    write: (...parts) => stream.write(`${String(Date.now() - startedAtMs).padStart(6)} ms ${parts.map(part => typeof part === 'string' ? part : JSON.stringify(part)).join(' ')}\n`),
    since: atMs => atMs - startedAtMs,
    end: () => new Promise(resolve => stream.end(resolve))
  }
}

/** Runs a case; `body` returns whether the rule held, or throws if the case couldn't run. */
export async function runCase (record, body) {
  const closers = []
  let code = 2
  try {
    const isHeld = await Promise.race([body(close => closers.push(close)), sleep(maxRunMs).then(() => { throw new Error('the case takes too long') })])
    code = isHeld ? 0 : 1
  } catch (error) {
    record.write('the case could not run:', error.stack)
    console.error(error.message)
  }
  for (const close of closers.reverse()) await close()
  record.write(`exit ${code}`)
  await record.end()
  process.exit(code)
}

/** The configuration of a small deployment: one host, a route of the given kind for each name, one service. */
export function configurationOf ({ version, service, routes, tenants, limits = {} }) {
  return {
    version,
    routes: routes.map(({ name, kind = 'safe', timeoutMs = 800, attempts = 2, isAnonymous = false, ...more }) => ({
      name, host: 'a.example', path_prefix: `/${name}/`, kind, timeout_ms: timeoutMs, slo_ms: 150, priority: 2, service, max_attempts: attempts, allow_anonymous: isAnonymous, session_affinity: false, stream_resume: false, ...more
    })),
    services: [{ name: service, health_path: '/health', max_connections: 110, protocol: 'h1', tls: false }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000, ...limits },
    ...(tenants === undefined ? {} : { tenants })
  }
}

/** Keeps the entries of runners in the store, as the runners themselves do. */
export function startBeats (store, service, runners) {
  const states = new Map(runners.map(({ id }) => [id, 'ready']))
  const bornMs = Date.now()
  let sequence = 0

  function write (runner) {
    const state = states.get(runner.id)
    if (state !== undefined) store.put(`servers/${runner.id}`, entryOf(runner, { service, zone: 'casa-a', state, sequence, bornMs, slots: 6 }))
  }

  function beat () {
    sequence += 1
    runners.forEach(write)
  }

  beat()
  const timer = setInterval(beat, beatMs)
  return {
    /** The runner says that it is about to leave; returns the time of the store's acknowledgement. */
    drain: runner => {
      states.set(runner.id, 'draining')
      sequence += 1
      write(runner)
      return Date.now()
    },
    /** The entry of a runner that leaves without saying so is removed. */
    remove: runner => {
      states.delete(runner.id)
      store.remove(`servers/${runner.id}`)
      return Date.now()
    },
    close: () => clearInterval(timer)
  }
}
