/** What control costs as the sizes grow, each with its least-squares line. */
import { mkdir, writeFile } from 'node:fs/promises'
import { fitLine } from './fit.ts'
import { inProcessSlopes } from './in-process.ts'
import { nodeSlopes } from './node-process.ts'

/** Options of the measurement. */
export interface SlopeOptions {
  seed: number
  json: boolean
}

function figure (value: number): string {
  return Number(value.toPrecision(4)).toString()
}

/** Measures all slopes, prints them and writes them as JSON lines. */
export async function measureSlopes (options: SlopeOptions): Promise<void> {
  const slopes = [...await inProcessSlopes(), ...await nodeSlopes(options.seed)]
  const lines = slopes.map(slope => ({ ...slope, fit: fitLine(slope.points) }))
  await mkdir('reports', { recursive: true })
  await writeFile('reports/slopes.jsonl', lines.map(line => JSON.stringify(line)).join('\n') + '\n')
  for (const line of lines) {
    if (options.json) {
      console.log(JSON.stringify(line))
      continue
    }
    const { slope, intercept, rSquared } = line.fit
    const points = line.points.map(({ x, y }) => `${x}: ${figure(y)}`).join(', ')
    console.log(`${line.name}: ${figure(slope)} ${line.unit} for each of ${line.over}, ${figure(intercept)} at none, r² ${figure(rSquared)} (${points})`)
  }
}
