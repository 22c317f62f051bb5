/** The pace at which a stand-in server works; a change applies at once, also to work in progress. */
import { createSystemClock } from '../../src/core/clock/index.ts'

export interface Pace {
  /** Waits for work that takes `workMs` at factor 1. */
  work: (workMs: number) => Promise<void>
  /** Sets the factor on the time that work takes; Infinity for a server that stalls. */
  setFactor: (factor: number) => void
}

/** Work in progress. */
interface Work {
  /** The server's progress at which the work is done. */
  doneAtProgressMs: number
  timer: NodeJS.Timeout | undefined
  resolve: () => void
}

/** The servers whose paces change. */
export interface PaceChangeOptions {
  engines: readonly Pace[]
  backends: readonly Pace[]
  /** Called with a description of each change. */
  onChange: (change: string) => void
}

const clock = createSystemClock()
const minFactor = 0.3
const maxFactor = 6
const maxStallMs = 1_500
const maxChangeMs = 4_000
/** Share of changes that are stalls, and share of the others that make servers slower. */
const stallRatio = 0.1
const slowerRatio = 0.8
/** Shares of changes that concern engines only and plain servers only; the others concern all servers. */
const enginesRatio = 0.8
const backendsRatio = 0.1
/** Share of the changes of one kind of servers that concern a single one. */
const singleRatio = 0.15

export function createPace (): Pace {
  let factor = 1
  let progressMs = 0
  let changedAtMs = clock.monotonicMs()
  const works = new Set<Work>()
  const currentProgressMs = (): number => progressMs + (clock.monotonicMs() - changedAtMs) / factor

  function schedule (work: Work): void {
    clearTimeout(work.timer)
    if (factor === Infinity) return
    work.timer = setTimeout(() => {
      works.delete(work)
      work.resolve()
    }, (work.doneAtProgressMs - currentProgressMs()) * factor)
  }

  return {
    work: workMs => new Promise(resolve => {
      const work = { doneAtProgressMs: currentProgressMs() + workMs, timer: undefined, resolve }
      works.add(work)
      schedule(work)
    }),
    setFactor: next => {
      progressMs = currentProgressMs()
      changedAtMs = clock.monotonicMs()
      factor = next
      for (const work of works) schedule(work)
    }
  }
}

/** Creates a function that changes the pace of servers, of single ones or of all of a kind together, and some seconds later back. */
export function createPaceChange ({ engines, backends, onChange }: PaceChangeOptions): (random: () => number) => Promise<void> {
  function drawServers (random: () => number): { paces: readonly Pace[], name: string } {
    const draw = random()
    if (draw >= enginesRatio + backendsRatio) return { paces: [...engines, ...backends], name: 'all servers' }
    const [paces, kind] = draw < enginesRatio ? [engines, 'engine'] : [backends, 'backend']
    if (random() >= singleRatio) return { paces, name: `all ${kind}s` }
    const index = Math.floor(random() * paces.length)
    return { paces: [paces[index]!], name: `${kind} ${index + 1}` }
  }

  return async random => {
    const { paces, name } = drawServers(random)
    const isStall = random() < stallRatio
    const factor = isStall ? Infinity : 1 + ((random() < slowerRatio ? maxFactor : minFactor) - 1) * random()
    const changeMs = random() * (isStall ? maxStallMs : maxChangeMs)
    onChange(`${isStall ? 'stall' : `factor ${factor.toFixed(2)}`} of ${name} for ${Math.round(changeMs)} ms`)
    for (const pace of paces) pace.setFactor(factor)
    await clock.sleep(changeMs)
    for (const pace of paces) pace.setFactor(1)
  }
}
