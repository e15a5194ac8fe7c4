/** Tracks endpoints that are leaving. */
package io.bilberrygrade.core.leaving;
