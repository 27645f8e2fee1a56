/** Value measured at one size, such as processor use at a number of workers. */
export interface MeasuredPoint {
    readonly size: number;
    readonly value: number;
}

/** Straight line fitted to measured points by least squares. */
export interface LinearFit {
    readonly slope: number;
    readonly intercept: number;
    /** Root mean square of the differences between measured and fitted values. */
    readonly residual: number;
}

/** Fits a straight line by least squares; needs at least two different sizes. */
export function fitLine(points: readonly MeasuredPoint[]): LinearFit {
    const count = points.length;
    const meanSize = points.reduce((total, point) => total + point.size, 0) / count;
    const meanValue = points.reduce((total, point) => total + point.value, 0) / count;
    const covariance = points.reduce((total, { size, value }) => total + (size - meanSize) * (value - meanValue), 0);
    const variance = points.reduce((total, { size }) => total + (size - meanSize) ** 2, 0);
    const slope = covariance / variance;
    const intercept = meanValue - slope * meanSize;
    const squares = points.reduce((total, { size, value }) => total + (value - intercept - slope * size) ** 2, 0);
    return { slope, intercept, residual: Math.sqrt(squares / count) };
}
