/**
 * Runs the soak test: nodes as real processes between callers and stand-ins,
 * with faults injected from outside. Exits with status 1 if a promise was
 * broken. Requires the program that `npm run build:platform` builds.
 *
 *     npm run soak -- --seed 7 --seeds 10 --seconds 12 --json
 *     npm run soak -- --minutes 5 --nodes 24
 *
 *     npm run soak -- --stops --seed 7 --seconds 20 --steady
 *     npm run soak -- --moves --seed 7 --seeds 10
 *     npm run soak -- --faulty --seed 7 --seeds 10
 *
 * With `--stops`, the only faults are planned ones: nodes are stopped and started again, beside reloads and changes of
 * the configuration, callers are like the users', and the pace of servers changes unless `--steady` is given. With `--moves`, each seed plays one version move with a restore of the
 * store and kills of nodes; its length doesn't depend on `--seconds`. With `--faulty`, backend servers send faulty responses,
 * such as bytes without end, while nodes are stopped and killed. Without `--seed`, the first seed is random. Logs of failed runs are written to .cache/soak.
 */
import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { parseArgs } from 'node:util'
import { runFaultyResponses } from './faulty-run.ts'
import { runMove } from './move-run.ts'
import { runSoak } from './run.ts'
import { runStops } from './stop-run.ts'
import { maxNodes } from './deployment.ts'

const programPath = 'target/cyclamenshunt.cjs'
const logFolder = '.cache/soak'
const msPerSecond = 1_000
const msPerMinute = 60_000
const maxRandomSeed = 2 ** 30

const usage = `Usage: npm run soak -- [options]

  --seed N      first seed; random by default
  --seeds N     number of seeds, one after the other (1)
  --minutes N   run seeds for this time instead
  --seconds N   time with faults for each seed (12)
  --nodes N     number of nodes, 1 to ${maxNodes} (3)
  --stops       planned stops only
  --steady      servers keep their pace (with --stops)
  --moves       version moves under restores of the store and kills
  --faulty      faulty responses of backend servers, beside stops and kills
  --json        one JSON object for each seed
  --help        this text
`

/** Ends the program because of a wrong option. */
function exitWithUsage (problem: string): never {
  process.stderr.write(`${problem}\n\n${usage}`)
  process.exit(2)
}

function parseOptions () {
  try {
    return parseArgs({
      options: {
        seed: { type: 'string', default: String(Math.floor(Math.random() * maxRandomSeed)) },
        seeds: { type: 'string', default: '1' },
        seconds: { type: 'string', default: '12' },
        minutes: { type: 'string' },
        nodes: { type: 'string', default: '3' },
        stops: { type: 'boolean', default: false },
        steady: { type: 'boolean', default: false },
        moves: { type: 'boolean', default: false },
        faulty: { type: 'boolean', default: false },
        json: { type: 'boolean', default: false },
        help: { type: 'boolean', default: false }
      }
    }).values
  } catch (error) {
    return exitWithUsage((error as Error).message)
  }
}

const values = parseOptions()
if (values.help) {
  process.stdout.write(usage)
  process.exit(0)
}

function parseWholeNumber (name: string, text: string): number {
  const number = Number(text)
  if (text.trim() === '' || !Number.isSafeInteger(number) || number < 0) return exitWithUsage(`--${name} takes a whole number, not "${text}".`)
  return number
}

const firstSeed = parseWholeNumber('seed', values.seed)
const durationMs = parseWholeNumber('seconds', values.seconds) * msPerSecond
const nodeCount = parseWholeNumber('nodes', values.nodes)
if (nodeCount < 1 || nodeCount > maxNodes) exitWithUsage(`--nodes takes 1 to ${maxNodes}, not ${nodeCount}.`)
const minutes = values.minutes === undefined ? undefined : parseWholeNumber('minutes', values.minutes)
const startAtMs = Date.now()

/** Whether to run another seed after the given number; with `--minutes`, the time decides instead of `--seeds`. */
function shouldRunAnotherSeed (completedSeeds: number): boolean {
  return minutes === undefined ? completedSeeds < parseWholeNumber('seeds', values.seeds) : Date.now() < startAtMs + minutes * msPerMinute
}

const runSeed = values.moves ? runMove : values.stops ? runStops : values.faulty ? runFaultyResponses : runSoak

for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(1))

for (let seed = firstSeed; shouldRunAnotherSeed(seed - firstSeed); seed += 1) {
  const { logs, ...result } = await runSeed({ seed, durationMs, nodeCount, program: programPath, isPaceSteady: values.steady })
  const text = values.json ? JSON.stringify(result) : `seed ${seed}: ${result.faults.length} faults, ${JSON.stringify(result.calls)}, broken: ${JSON.stringify(result.broken)}`
  process.stdout.write(`${text}\n`)
  if (result.broken.length === 0) continue
  process.exitCode = 1
  mkdirSync(logFolder, { recursive: true })
  for (const [node, lines] of Object.entries(logs)) writeFileSync(join(logFolder, `${seed}-${node}.log`), `${lines.join('\n')}\n`)
}
